//! Files by which a gateway of `larchfall-faulty-host` is told what its clock and its disk do, and the folders of its voter
//! records.

use super::DiskBehavior;
use crate::gateway_config::gateway_name;
use crate::gateway_process::EnvironmentVariable;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The variable that names the file with the seconds by which the Unix clock is off.
pub const UNIX_CLOCK_VARIABLE: &str = "FAULTY_WALL";
/// The variable that names the file with what the disk does.
pub const DISK_VARIABLE: &str = "FAULTY_DISK";
/// The variable with the rate of the steady clock.
pub const STEADY_CLOCK_VARIABLE: &str = "FAULTY_CLOCK";

/// A folder with files for each gateway of a cluster.
pub struct FaultFiles(PathBuf);

impl FaultFiles {
    /// Makes the folder, with the folders of voter records in it.
    pub fn new(folder: &Path, gateways: usize) -> io::Result<FaultFiles> {
        (0..gateways).try_for_each(|gateway| fs::create_dir_all(folder.join(gateway_name(gateway))))?;
        Ok(FaultFiles(folder.to_owned()))
    }

    /// The folder of a gateway's voter record.
    pub fn record_folder(&self, gateway: usize) -> PathBuf {
        self.0.join(gateway_name(gateway))
    }

    /// What makes a gateway read these files.
    pub fn environment(&self, gateway: usize) -> Vec<EnvironmentVariable> {
        let variable = |name, file: PathBuf| EnvironmentVariable { name, value: file.display().to_string() };
        vec![
            variable(UNIX_CLOCK_VARIABLE, self.file(gateway, "off")),
            variable(DISK_VARIABLE, self.file(gateway, "does")),
        ]
    }

    /// Sets by how many seconds a gateway's Unix clock is off.
    pub fn set_clock_offset(&self, gateway: usize, seconds: i64) {
        self.replace(gateway, "off", &seconds.to_string());
    }

    /// Sets what a gateway's disk does.
    pub fn set_disk(&self, gateway: usize, behavior: DiskBehavior) {
        self.set_disk_words(gateway, behavior.word());
    }

    /// Sets what a gateway's disk does, in the words of `larchfall-faulty-host`.
    pub fn set_disk_words(&self, gateway: usize, words: &str) {
        self.replace(gateway, "does", words);
    }

    fn file(&self, gateway: usize, extension: &str) -> PathBuf {
        self.0.join(format!("{}.{extension}", gateway_name(gateway)))
    }

    /// At once, as the file is read at any moment.
    fn replace(&self, gateway: usize, extension: &str, text: &str) {
        let new = self.file(gateway, "new");
        let replaced = fs::write(&new, text).and_then(|()| fs::rename(&new, self.file(gateway, extension)));
        let _ = replaced;
    }
}
