//! Reading the calls of administrators.
use super::*;

#[test]
fn members_are_read_once_and_unescaped() {
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
