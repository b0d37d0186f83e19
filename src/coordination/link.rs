//! Byte budget of the link between regions.
