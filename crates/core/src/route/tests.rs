//! Tests of the choice of an upstream.
