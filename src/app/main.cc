#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "app/drains_command.h"
#include "app/policy_file.h"
#include "app/process.h"

namespace {

bool ReadFile(const std::string& path, std::string* out) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return false;
  std::ostringstream text;
  text << in.rdbuf();
  *out = text.str();
  return !in.bad();
}

int Complain(const std::string& what, const std::string& why) {
  std::cerr << "deckhall: " << what << ": " << why << std::endl;
  return 2;
}

// The files named on the command line; only the first is required.
struct Files {
  std::string config;
  std::string tuning;
  std::string disruption;
};

// Reads and checks the files; 0, or the exit status after one line on standard error.
int Read(const Files& files, deckhall::Settings* settings, deckhall::Tuning* tuning) {
  std::string text;
  if (!ReadFile(files.config, &text)) return Complain(files.config, "can't be read");
  std::string bad = deckhall::ReadSettings(text, settings);
  if (!bad.empty()) return Complain(files.config, bad);
  if (!files.tuning.empty()) {
    if (!ReadFile(files.tuning, &text)) return Complain(files.tuning, "can't be read");
    bad = deckhall::ReadTuning(text, tuning);
    if (!bad.empty()) return Complain(files.tuning, bad);
  }
  if (files.disruption.empty()) return 0;
  deckhall::DisruptionPolicy policy;
  bad = deckhall::LoadPolicyFile(files.disruption, *settings, &policy);
  return bad.empty() ? 0 : Complain(files.disruption, bad);
}

void SetUpLog(const std::string& label) {
  auto logger = spdlog::stderr_logger_st("deckhall");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string word = level == nullptr ? "info" : level;
  logger->set_level(word == "debug"   ? spdlog::level::debug
                    : word == "error" ? spdlog::level::err
                                      : spdlog::level::info);
  logger->set_pattern("%T.%e " + label + " %l %v");
  spdlog::set_default_logger(logger);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("deckhall: a cluster scheduler's controller");
  app.set_version_flag("--version", std::string("deckhall ") + DECKHALL_VERSION);
  app.require_subcommand(1);
  Files files;
  auto* serve = app.add_subcommand("serve", "run a controller until it is killed");
  auto* check = app.add_subcommand("check", "check the files, and stop");
  auto* drains = app.add_subcommand("drains", "show how far each drain has come, and stop");
  for (auto* sub : {serve, check, drains}) {
    sub->add_option("--config", files.config, "the platform's settings (JSON)")->required();
    if (sub == drains) continue;
    sub->add_option("--tuning", files.tuning, "the operators' settings (S-expression)");
    sub->add_option("--disruption", files.disruption,
                    "disruption budgets and drains (S-expression)");
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  deckhall::Settings settings;
  deckhall::Tuning tuning;
  if (const int status = Read(files, &settings, &tuning); status != 0) return status;
  if (drains->parsed()) return deckhall::PrintDrains(settings);
  if (check->parsed()) {
    std::cout << "settings are good" << std::endl;
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLog(settings.label);
  try {
    deckhall::Loop loop;
    const deckhall::Process process(&loop, settings, tuning, files.disruption);
    loop.Run();
  } catch (const std::exception& e) {
    spdlog::error("{}", e.what());
    return 1;
  }
  return 0;
}
