//! The executable `larchfall`.

fn main() -> std::process::ExitCode {
    larchfall_gateway::cli::main()
}
