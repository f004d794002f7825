//! Measurements of the decision logic on a simulated clock.

pub mod budgets;
