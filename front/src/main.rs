fn main() -> std::process::ExitCode {
    larchfall_front::run::command::main()
}
