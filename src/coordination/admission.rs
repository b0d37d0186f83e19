//! Admission: slots, the priority queue and preemption.
