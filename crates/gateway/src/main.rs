fn main() -> std::process::ExitCode {
    larchfall_gateway::run::command::main()
}
