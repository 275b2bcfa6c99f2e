//! Scenarios that are part of the program.

/// A scenario that is part of the program.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    /// Name by which commands refer to it.
    pub name: &'static str,
    /// Text of its file.
    pub text: &'static str,
}

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// All scenarios of the program, in the order in which commands list them.
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

/// Returns the scenario of this name, if there is one.
pub fn find(name: &str) -> Option<Shipped> {
    ALL.iter().find(|shipped| shipped.name == name).copied()
}
