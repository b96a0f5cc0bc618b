//! Tests of the bench itself: equal options give equal reports, every policy ends the same
//! programs, and the simulated engine caches and batches as specified.

use camphorwalk_bench::engine::{Engine, EngineShape, Sequence};
use camphorwalk_bench::fleet::Engines;
use camphorwalk_bench::scheduler::Policy;
use camphorwalk_bench::simulation::{ArrivalMode, ProgramEnd, Simulation};
use camphorwalk_bench::workload::{Program, Traffic, Workload};
use camphorwalk_bench::{BenchOptions, run};

fn short_options() -> BenchOptions {
    BenchOptions {
        seeds: vec![7],
        seconds: 90.0,
        capacity_seconds: 60.0,
        workloads: vec![Workload::inkwick()],
        ..BenchOptions::default()
    }
}

/// Runs an engine until it is idle, and returns the finished requests.
fn finish(engine: &mut Engine) -> Vec<Sequence> {
    let mut done = Vec::new();

    while engine.start_iteration().is_some() {
        done.extend(engine.finish_iteration());
    }

    done
}

#[test]
fn the_same_options_give_the_same_bytes() {
    let options = short_options();

    let first = run(&options);
    let second = run(&options);

    assert_eq!(first.to_json(), second.to_json());
    assert_eq!(first.table(), second.table());
}

#[test]
fn the_plot_is_an_svg_with_each_workload() {
    let file = std::env::temp_dir().join(format!("camphorwalk-plot-{}.svg", std::process::id()));

    run(&short_options()).plot(&file).unwrap();
    let svg = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();

    assert!(svg.starts_with("<svg"));
    assert!(svg.contains("inkwick"));
}

#[test]
fn every_policy_ends_every_program() {
    let workload = Workload::inzira();
    let traffic = Traffic { rate: 0.2, seconds: 60.0, surge: 1.0 };
    let programs = workload.draw(3, traffic);

    for policy in Policy::ALL {
        let simulation = Simulation::new(
            policy,
            &workload,
            &programs,
            Engines::default(),
            ArrivalMode::OpenLoop,
            3,
        );
        let trace = simulation.run(u64::MAX);

        let roots = || programs.iter().zip(&trace.outcomes).filter(|(p, _)| p.parent.is_none());
        assert!(roots().all(|(_, outcome)| outcome.is_some()), "{policy:?}");
        assert!(roots().any(|(_, outcome)| outcome.unwrap().end == ProgramEnd::Finished));
    }
}

#[test]
fn sub_agents_end_before_their_program() {
    let workload = Workload::inkwick();
    let traffic = Traffic { rate: 1.0, seconds: 60.0, surge: 1.0 };
    let programs: Vec<Program> = workload.draw(1, traffic);
    let engines = Engines::default();

    let simulation = Simulation::new(
        Policy::Camphorwalk,
        &workload,
        &programs,
        engines,
        ArrivalMode::OpenLoop,
        1,
    );
    let trace = simulation.run(u64::MAX);

    for (program, outcome) in programs.iter().zip(&trace.outcomes) {
        let Some(outcome) = outcome.filter(|outcome| outcome.end == ProgramEnd::Finished) else {
            continue;
        };
        let children = program.turns.iter().flat_map(|turn| &turn.children);

        for child in children {
            assert!(trace.outcomes[*child].is_some_and(|child| child.at <= outcome.at));
        }
    }
}

#[test]
fn an_engine_computes_only_what_it_has_not_cached() {
    let mut engine = Engine::new(EngineShape::default());
    engine.send(Sequence::new(1, 1, 1_000, 10));
    finish(&mut engine);

    engine.send(Sequence::new(2, 1, 1_200, 10));
    let done = finish(&mut engine);

    assert_eq!(done[0].computed, 190);
}

#[test]
fn an_engine_evicts_the_least_recently_used_prefix() {
    let shape = EngineShape { cache_tokens: 2_500, ..EngineShape::default() };
    let mut engine = Engine::new(shape);

    for program in 1..=3 {
        engine.send(Sequence::new(program, program as usize, 1_000, 10));
        finish(&mut engine);
    }

    assert!(!engine.free(1));
    assert!(engine.free(2) && engine.free(3));
}

#[test]
fn an_engine_limits_its_batch_and_reports_waiting_requests() {
    let shape = EngineShape { batch: 2, ..EngineShape::default() };
    let mut engine = Engine::new(shape);
    (1..=3).for_each(|number| engine.send(Sequence::new(number, number as usize, 100, 10)));

    engine.start_iteration();

    let load = engine.load();
    assert_eq!((load.running, load.waiting), (2, 1));
}
