//! Outlier ejection and slow start of instances.
