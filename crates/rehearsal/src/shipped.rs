//! The scenarios that ship inside the program.

/// One of them.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    pub name: &'static str,
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// All of them, by the names by which they are called.
        pub const ALL: &[Shipped] = &[$(Shipped { name: $name, text: include_str!(concat!("../scenarios/", $name, ".toml")) }),*];
    };
}

shipped![
    "calm",
    "overlap",
    "zone-down",
    "proxy-killed",
    "rolling-restart",
    "list-trouble",
    "harvest",
    "silent-rack",
    "pauses",
    "season",
];

pub fn find(name: &str) -> Option<Shipped> {
    ALL.iter().find(|shipped| shipped.name == name).copied()
}
