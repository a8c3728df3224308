//! Help texts of the command line.

pub(super) const PROGRAM: &str = "\
larchfall keeps short and long queries apart on shared query engines.

usage: larchfall [serve] [--config FILE] [--site FILE]   run a gateway (the default)
       larchfall check [--config FILE] [--site FILE]     validate both files and report an error
       larchfall members --config FILE --site FILE       members that the running gateway knows, and their state
       larchfall leases --config FILE --site FILE        holder of each lease, as the running gateway knows it
       larchfall quotas --config FILE --site FILE        quotas of the running gateway, and those that it allocates
       larchfall engines --config FILE --site FILE       health of each engine, as observed by this and other gateways
       larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]
                                                         engines that each of N gateways would use; queries no gateway
       larchfall version                                 print the version
       larchfall help                                    print this help

The former names of three commands still work: fronts (members), duties (leases) and shares (quotas).

  --config FILE   the configuration; defaults to the path in the environment variable NODE_CONFIG
  --site FILE     the operator's own settings in TOML; a feature whose table is absent is off
  -h, --help      print help

On SIGUSR1 a gateway logs its counters; on SIGHUP it reloads its files and connects to the discovery service that
they name; on SIGTERM it answers the requests that it has admitted and exits.
Exit codes: 0 success, 1 failure at run time, 2 invalid arguments or configuration.
";

pub(super) const SERVE: &str = "\
usage: larchfall serve [--config FILE] [--site FILE]

Runs a gateway until SIGTERM.
";

pub(super) const CHECK: &str = "\
usage: larchfall check [--config FILE] [--site FILE]

Validates both files and reports an error.
";

pub(super) const STATUS: &str = "\
usage: larchfall members|leases|quotas|engines [--config FILE] [--site FILE]

Queries the gateway that runs with these files, on the same machine. The former names fronts (members), duties (leases)
and shares (quotas) still work.
";

pub(super) const SUBSETS: &str = "\
usage: larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]

Computes which engines of the configuration's endpoint list each of N gateways would use.
";

pub(super) const VERSION: &str = "\
usage: larchfall version

Prints the version.
";
