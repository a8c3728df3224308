//! Writes the voter record on a thread of its own, so that a slow or hanging disk delays no request.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::cluster::counters::increment;
use crate::state::{State, lock};
use larchfall_leases::voter_record::{Disk, VoterRecord, store};
use slog::warn;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Writer of the voter record, whose thread has not been started yet.
pub struct VoterRecordWriter {
    disk: Box<dyn Disk>,
    records: Receiver<VoterRecord>,
}

impl VoterRecordWriter {
    /// Returns the writer and the sender of its records. The channel holds one record, since the lease manager has at
    /// most one write pending.
    pub(super) fn new(disk: Box<dyn Disk>) -> (SyncSender<VoterRecord>, VoterRecordWriter) {
        let (sender, records) = sync_channel(1);
        (sender, VoterRecordWriter { disk, records })
    }

    /// Starts the thread, which ends when the sender of the records is dropped. Fails if the system can't start a
    /// thread.
    pub fn start(self, state: &Arc<State>, cluster: &Arc<Cluster>) -> io::Result<()> {
        let VoterRecordWriter { mut disk, records } = self;
        let state = state.clone();
        let cluster = cluster.clone();
        std::thread::Builder::new().spawn(move || {
            for record in records {
                let result = store(disk.as_mut(), &record);
                if let Some(leases) = &cluster.leases {
                    leases.on_record_write_finished(&state, &cluster, &result);
                }
            }
        })?;
        Ok(())
    }
}

impl LeaseService {
    fn on_record_write_finished(&self, state: &State, cluster: &Cluster, result: &io::Result<()>) {
        increment(&self.counters.record_writes);
        if let Err(error) = result {
            increment(&self.counters.failed_record_writes);
            warn!(state.log, "voter record not written"; "error" => error.to_string());
        }
        let output = lock(&self.manager).on_record_written(result.is_ok(), self.now());
        self.apply_output(state, cluster, output);
    }
}
