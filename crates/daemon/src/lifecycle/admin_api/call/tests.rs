//! Tests of parsing the parameters of admin calls.
use super::*;

#[test]
fn member_parameter_is_unescaped_and_must_occur_once() {
    assert_eq!(
        parse_member("a=1&member=s%2D5%c3%A9"),
        Ok("s-5é".to_owned())
    );
    for bad in [
        "",
        "member",
        "member=",
        "member=a&member=a",
        "member=%4",
        "member=%+1",
        "member=%ff",
        "members=a",
    ] {
        assert!(parse_member(bad).is_err(), "{bad}");
    }
}
