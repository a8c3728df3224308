//! The voter record is written on a thread of its own: a disk may be slow or hang, and no request waits for it.

use super::LeaseService;
use crate::cluster::Cluster;
use crate::cluster::counters::increment;
use crate::state::{State, lock};
use larchfall_leases::voter_record::{Disk, VoterRecord, store};
use slog::warn;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// What writes records, before its thread runs.
pub struct VoterRecordWriter {
    disk: Box<dyn Disk>,
    records: Receiver<VoterRecord>,
}

impl VoterRecordWriter {
    /// With the sender of the records that it writes: one at a time.
    pub(super) fn new(disk: Box<dyn Disk>) -> (SyncSender<VoterRecord>, VoterRecordWriter) {
        let (sender, records) = sync_channel(1);
        (sender, VoterRecordWriter { disk, records })
    }

    /// Starts the thread, which ends with the lease service.
    pub fn start(self, state: &Arc<State>, cluster: &Arc<Cluster>) -> io::Result<()> {
        let VoterRecordWriter { mut disk, records } = self;
        let state = state.clone();
        let cluster = cluster.clone();
        std::thread::Builder::new().spawn(move || {
            for record in records {
                let result = store(disk.as_mut(), &record);
                if let Some(leases) = &cluster.leases {
                    leases.on_record_written(&state, &cluster, &result);
                }
            }
        })?;
        Ok(())
    }
}

impl LeaseService {
    fn on_record_written(&self, state: &State, cluster: &Cluster, result: &io::Result<()>) {
        increment(&self.counters.records);
        if let Err(error) = result {
            increment(&self.counters.records_failed);
            warn!(state.log, "voter record not written"; "error" => error.to_string());
        }
        let effects = lock(&self.leases).on_record_written(result.is_ok(), self.now());
        self.apply(state, cluster, effects);
    }
}
