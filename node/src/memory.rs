//! Metrics of the process's memory.

use crate::operations::Subsystem;
use birchswitch_figures::Metrics;
use birchswitch_http::BufferBudget;
use birchswitch_memory::MemoryMonitor;
use std::rc::Rc;

/// Tells operators what the memory is used for.
pub struct MemoryOperations {
    monitor: Rc<MemoryMonitor>,
    request_bodies: BufferBudget,
    response_bodies: BufferBudget,
}

impl MemoryOperations {
    /// Reports what the monitor measures and what is reserved for bodies.
    pub fn new(
        monitor: Rc<MemoryMonitor>,
        request_bodies: BufferBudget,
        response_bodies: BufferBudget,
    ) -> Self {
        MemoryOperations { monitor, request_bodies, response_bodies }
    }
}

impl Subsystem for MemoryOperations {
    fn metrics(&self, metrics: &Metrics) {
        let usage = self.monitor.usage();
        let mut bytes = vec![
            ("limit".to_owned(), usage.limit as f64),
            ("resident".to_owned(), usage.resident as f64),
            ("request_bodies".to_owned(), self.request_bodies.reserved() as f64),
            ("response_bodies".to_owned(), self.response_bodies.reserved() as f64),
        ];
        bytes.extend(usage.allocated.map(|allocated| ("allocated".to_owned(), allocated as f64)));
        metrics.set_gauges(("memory_bytes", "Memory of this process.", "of"), bytes);
        let level = self.monitor.pressure().level() as u8;
        let level = [("now".to_owned(), f64::from(level))];
        metrics.set_gauges(("memory_level", "How short memory is, 0 (normal) to 3 (critical).", "at"), level);
    }
}
