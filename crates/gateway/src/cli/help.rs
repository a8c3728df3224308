//! What the program says of its own use.

pub(super) const PROGRAM: &str = "\
larchfall keeps short and long queries apart on shared query engines.

usage: larchfall [serve] [--config FILE] [--site FILE]   run a gateway (the default)
       larchfall check [--config FILE] [--site FILE]     read both files and say what is wrong
       larchfall members --config FILE --site FILE       members that the running gateway knows, and their state
       larchfall leases --config FILE --site FILE        who holds which lease, as the running gateway knows it
       larchfall quotas --config FILE --site FILE        its quotas, and the quotas that it allocates itself
       larchfall engines --config FILE --site FILE       health of each engine, as it and others observed it
       larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]
                                                         what [subsets] comes to over N gateways; none is asked
       larchfall version                                 print the version
       larchfall help                                    print this

The former names of three commands still work: fronts (members), duties (leases) and shares (quotas).

  --config FILE   the configuration; else the environment's NODE_CONFIG names it
  --site FILE     the operator's own settings in TOML; what it does not name is off
  -h, --help      print help

On SIGUSR1 a gateway logs its counters; on SIGHUP it reads its files again and follows the discovery service that
they name; on SIGTERM it answers the requests that it has admitted and ends.
Exit codes: 0 done, 1 failed while running, 2 wrong arguments or configuration.
";

pub(super) const SERVE: &str = "\
usage: larchfall serve [--config FILE] [--site FILE]

Runs a gateway until SIGTERM.
";

pub(super) const CHECK: &str = "\
usage: larchfall check [--config FILE] [--site FILE]

Reads both files and says what is wrong.
";

pub(super) const STATUS: &str = "\
usage: larchfall members|leases|quotas|engines [--config FILE] [--site FILE]

Asks the gateway that runs with these files, on its own machine. The former names fronts (members), duties (leases)
and shares (quotas) still work.
";

pub(super) const SUBSETS: &str = "\
usage: larchfall subsets --config FILE --site FILE --fronts N [--chart FILE.svg]

Works out which of N gateways would use which of the engines that the configuration names.
";

pub(super) const VERSION: &str = "\
usage: larchfall version

Prints the version.
";
