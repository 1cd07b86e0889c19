// The files that are named on the command line.
#pragma once

#include <string>

#include "common/result.h"
#include "config/settings.h"
#include "config/tuning.h"

namespace deckhall {

// Paths; only the first file is required, the others are left out when the path is empty.
struct FilePaths {
  std::string settings;  // the platform's (JSON)
  std::string tuning;    // the operators' (S-expression)
  std::string policy;    // disruption budgets and drains (S-expression)
};

// What a controller starts with.
struct Configuration {
  Settings settings;
  Tuning tuning;
};

// Why a file can't be used.
struct FileError {
  std::string path;
  std::string reason;
};

// The error in one line, for operators.
std::string DescribeError(const FileError& error);

// Reads and checks the files, in the order of the paths. The policy is only checked: the running
// controller reads it again whenever it changes (PolicyFile).
Result<Configuration, FileError> ReadConfiguration(const FilePaths& paths);

}  // namespace deckhall
