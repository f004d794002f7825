//! Tests of the overload protection.
