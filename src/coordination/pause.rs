//! Process pauses: what is checked again after one.
