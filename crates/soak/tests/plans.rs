//! Plans: drawn from a seed alone, kept in a file, and made smaller.
use birchhub_soak::{SoakPlan, shrink};
use std::collections::HashSet;
use std::convert::Infallible;

const SECONDS: f64 = 60.0;
const PROXIES: usize = 24;

#[test]
fn a_seed_draws_the_same_plan_again_and_others_differ() {
    let plan = SoakPlan::draw(7, SECONDS, PROXIES);
    assert_eq!(plan, SoakPlan::draw(7, SECONDS, PROXIES));
    assert_ne!(plan.faults, SoakPlan::draw(8, SECONDS, PROXIES).faults);
}

#[test]
fn a_plan_reads_back_from_its_file() {
    let folder = std::env::temp_dir().join(format!("birchhub-plan-{}", std::process::id()));
    for seed in 0..50 {
        let plan = SoakPlan::draw(seed, SECONDS, PROXIES);
        std::fs::write(&folder, plan.to_text()).expect("a file");
        assert_eq!(
            SoakPlan::read(&folder).expect("a plan"),
            plan,
            "seed {seed}"
        );
    }
    std::fs::remove_file(folder).expect("the file");
}

/// Several faults last at the same time, and each kind is drawn sooner or later.
#[test]
fn faults_overlap_and_are_of_all_kinds() {
    let mut kinds = HashSet::new();
    for seed in 0..40 {
        let plan = SoakPlan::draw(seed, SECONDS, PROXIES);
        let at = |time: f64| {
            let lasts = plan
                .faults
                .iter()
                .filter(|fault| fault.at <= time && time < fault.at + fault.lasts);
            lasts.count()
        };
        let most = (0..SECONDS as u32).map(|second| at(second.into())).max();
        assert!(most > Some(2), "seed {seed}: {most:?}");
        let names = plan.faults.iter().map(|fault| fault.name.rsplit_once('-'));
        kinds.extend(names.flatten().map(|(kind, _)| kind.to_owned()));
        let names: HashSet<_> = plan.faults.iter().map(|fault| &fault.name).collect();
        assert_eq!(names.len(), plan.faults.len(), "names of seed {seed}");
    }
    assert_eq!(kinds.len(), 19, "{kinds:?}");
}

/// What fails only with two certain faults together is shrunk to these two.
#[test]
fn a_failing_plan_is_shrunk_to_what_makes_it_fail() {
    let plan = SoakPlan::draw(3, SECONDS, PROXIES);
    let needed = [&plan.faults[4].name, &plan.faults[31].name];
    let mut played = 0;
    let shrunk = shrink(&plan, |plan| {
        played += 1;
        let has = |name: &&String| plan.faults.iter().any(|fault| fault.name == **name);
        Ok::<_, Infallible>(needed.iter().all(has))
    });
    let shrunk = shrunk.expect("no error");
    let left: Vec<_> = shrunk.faults.iter().map(|fault| &fault.name).collect();
    assert_eq!(left, needed);
    assert!(played < 60, "{played} plays");
}

#[test]
fn a_file_that_is_no_plan_is_an_error_that_says_why() {
    let file = std::env::temp_dir().join(format!("birchhub-no-plan-{}", std::process::id()));
    std::fs::write(&file, "seed = 1\nseconds = \"long\"\n").expect("a file");
    let error = SoakPlan::read(&file).expect_err("no plan").to_string();
    assert!(error.contains("seconds"), "{error}");
    std::fs::remove_file(&file).expect("the file");
    let error = SoakPlan::read(&file).expect_err("no file").to_string();
    assert!(error.contains("birchhub-no-plan"), "{error}");
}
