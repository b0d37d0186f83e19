//! Decision logic without side effects. Nothing in this module does I/O, reads a clock or spawns a
//! task: functions take the current time as `now` and a random number generator where they need
//! one.

pub mod active_calls;
pub mod admission;
pub mod admission_config;
pub mod arrival;
pub mod attempt_outcome;
pub mod attempts;
pub mod backpressure;
pub mod call_options;
pub mod concurrency_limit;
pub mod config;
pub mod control;
pub mod crash_detector;
pub mod dispatch;
pub mod document;
pub mod ejection;
pub mod fanout;
pub mod gate;
pub mod gossip;
pub mod hold;
pub mod join;
pub mod level;
pub mod level_view;
pub mod link_budget;
pub mod link_budgets;
pub mod members;
pub mod origin;
pub mod pause;
pub mod plan;
pub mod poison;
pub mod queue;
pub mod reader;
pub mod retries;
pub mod retry_after;
pub mod retry_budget;
pub mod root_admission;
pub mod route;
pub mod routing;
pub mod score;
pub mod selection;
pub mod slots;
pub mod subset;
pub mod target;
pub mod target_group;
pub mod token;
