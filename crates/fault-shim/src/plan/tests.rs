use super::*;

#[test]
fn a_plan_is_parsed() {
    let plan = Plan::parse("seed=7,recv=EINTR@0.2,send=short@0.5:1-4.5,clock=-3600@1:3-9");
    let fault = |call, effect, probability, from, until| Fault {
        call,
        effect,
        probability,
        from,
        until,
    };
    let expected = Plan {
        seed: 7,
        faults: vec![
            fault(
                Call::Recv,
                Effect::Error(libc::EINTR),
                0.2,
                0.0,
                f64::INFINITY,
            ),
            fault(Call::Send, Effect::Short, 0.5, 1.0, 4.5),
            fault(Call::Clock, Effect::Step(-3600), 1.0, 3.0, 9.0),
        ],
    };
    assert_eq!(plan, Ok(expected));
    assert_eq!(Plan::parse(""), Ok(Plan::default()));
}

#[test]
fn an_invalid_part_is_an_error_that_names_it() {
    for text in [
        "recv",
        "recv=EINTR",
        "recv=EWHAT@1",
        "listen=EINTR@1",
        "recv=EINTR@often",
        "recv=EINTR@1:5",
        "clock=short@1",
        "seed=x",
    ] {
        let error = Plan::parse(&format!("seed=1,{text}")).expect_err(text);
        assert_eq!(
            error.to_string(),
            format!("invalid part of the fault plan: \"{text}\"")
        );
    }
}
