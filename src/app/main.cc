// The command line of deckhall: parses the arguments and runs the subcommand. If the arguments or a
// file are invalid, prints one line to standard error and exits with status 2.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "app/controller_files.h"
#include "app/drains_command.h"
#include "app/process.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

spdlog::level::level_enum LogLevelFromEnvironment() {
  const char* level = std::getenv("LOG_LEVEL");
  const std::string word = level == nullptr ? "info" : level;
  if (word == "debug") return spdlog::level::debug;
  if (word == "error") return spdlog::level::err;
  return spdlog::level::info;
}

void SetUpLog(const std::string& label) {
  auto logger = spdlog::stderr_logger_st("deckhall");
  logger->set_level(LogLevelFromEnvironment());
  logger->set_pattern("%T.%e " + label + " %l %v");
  spdlog::set_default_logger(logger);
}

int Serve(const deckhall::Configuration& configuration, const std::string& policy_path) {
  // Writing to a connection that the peer has closed must fail, not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLog(configuration.settings.label);
  try {
    deckhall::Loop loop;
    const deckhall::Process process(&loop, configuration.settings, configuration.tuning,
                                    policy_path);
    loop.Run();
  } catch (const std::exception& e) {
    spdlog::error("{}", e.what());
    return kExitFailure;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("deckhall: a cluster scheduler's controller");
  app.set_version_flag("--version", std::string("deckhall ") + DECKHALL_VERSION);
  app.require_subcommand(1);
  deckhall::FilePaths paths;
  auto* serve = app.add_subcommand("serve", "run a controller until it is killed");
  auto* check = app.add_subcommand("check", "check the files and exit");
  auto* drains = app.add_subcommand("drains", "show the progress of each drain and exit");
  for (auto* command : {serve, check, drains}) {
    command->add_option("--config", paths.settings, "settings of the platform (JSON)")->required();
    if (command == drains) continue;
    command->add_option("--tuning", paths.tuning, "tuning by the operators (S-expression)");
    command->add_option("--disruption", paths.policy,
                        "disruption budgets and drains (S-expression)");
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kExitUsage;
  }
  const auto configuration = deckhall::ReadConfiguration(paths);
  if (!configuration.has_value()) {
    std::cerr << "deckhall: " << deckhall::DescribeError(configuration.error()) << std::endl;
    return kExitUsage;
  }
  if (drains->parsed()) return deckhall::PrintDrains(configuration.value().settings);
  if (check->parsed()) {
    std::cout << "settings are good" << std::endl;
    return 0;
  }
  return Serve(configuration.value(), paths.policy);
}
