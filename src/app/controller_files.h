// Reading of the files that are named on the command line.
#pragma once

#include <string>

#include "common/result.h"
#include "config/settings.h"
#include "config/tuning.h"

namespace deckhall {

// Paths of the files. Only the settings are required; an empty path means that there is no file.
struct FilePaths {
  std::string settings;  // settings of the platform (JSON)
  std::string tuning;    // tuning by the operators (S-expression)
  std::string policy;    // disruption budgets and drains (S-expression)
};

// The configuration with which a controller starts.
struct Configuration {
  Settings settings;
  Tuning tuning;
};

// The reason why a file can't be used.
struct FileError {
  std::string path;
  std::string reason;
};

// The error in one line, for operators.
std::string DescribeError(const FileError& error);

// Reads and checks the files, in the order of the paths. The policy is only checked: the running
// controller reads it itself, again after each change (PolicyFile).
Result<Configuration, FileError> ReadConfiguration(const FilePaths& paths);

}  // namespace deckhall
