#include "app/drains_command.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <optional>
#include <utility>

#include "net/loop.h"
#include "state/key_value_client.h"
#include "state/record_store.h"

namespace deckhall {
namespace {

constexpr double kTimeoutSeconds = 5;

class CommandClock : public Clock {
 public:
  double Now() const override { return SteadySeconds(); }
  double Wall() const override { return WallSeconds(); }
};

std::string FormatDuration(double seconds) {
  const auto s = static_cast<long>(std::max(0.0, seconds));
  char text[40];
  if (s < 120) {
    std::snprintf(text, sizeof text, "%ld s", s);
  } else if (s < 7200) {
    std::snprintf(text, sizeof text, "%ld min", s / 60);
  } else {
    std::snprintf(text, sizeof text, "%.1f h", static_cast<double>(s) / 3600);
  }
  return text;
}

std::string FormatCount(uint64_t n, const char* suffix) { return std::to_string(n) + " " + suffix; }

}  // namespace

void DrainRecords::AddPage(const std::string& page) {
  rapidjson::Document document;
  if (!ParseJson(page, &document) || !document.IsArray()) return;
  for (const auto& row : document.GetArray()) {
    rapidjson::StringBuffer buffer;
    JsonWriter writer(buffer);
    row.Accept(writer);
    const std::string_view text(buffer.GetString(), buffer.GetSize());
    if (std::optional<DrainProgress> progress = DecodeProgress(text)) {
      drains.push_back(std::move(*progress));
    } else if (std::optional<EvictionRecord> eviction = DecodeEviction(text)) {
      evictions.push_back(std::move(*eviction));
    }
  }
}

std::string DescribeDrains(const DrainRecords& records, double wall) {
  if (records.drains.empty()) return "no drains\n";
  std::string out;
  for (const DrainProgress& d : records.drains) {
    out +=
        d.drain + ": " + DrainStateName(d.state) + " for " + FormatDuration(wall - d.since_wall) +
        "; " + FormatCount(d.machines_done, "machines done, ") +
        FormatCount(d.machines_left, "left; ") + FormatCount(d.replicas_moved, "replicas moved, ") +
        FormatCount(d.replicas_moving, "moving; ") +
        FormatCount(d.tasks_stopped, "tasks of arrays stopped; ") +
        FormatCount(d.evictions_given_up, "steps given up\n");
    if (d.state != DrainState::kDone && !d.blocked_reason.empty()) {
      out += "  waits for " + FormatDuration(wall - d.waiting_since_wall) + ": " +
             d.blocked_reason + "\n";
    }
    if (d.state == DrainState::kDone && d.machines_done == 0) out += "  no machine matched\n";
    for (const EvictionRecord& eviction : records.evictions) {
      if (eviction.drain != d.drain) continue;
      out += "  moving " + eviction.job + "/" + std::to_string(eviction.task) + " off " +
             eviction.machine + " for " + FormatDuration(wall - eviction.since_wall) + "\n";
    }
  }
  return out;
}

int PrintDrains(const Settings& settings) {
  Loop loop;
  const CommandClock clock;
  KeyValueClient state(&loop, &clock, settings.state, settings.effective_state_limits.rps,
                       settings.effective_state_limits.write_rps);
  DrainRecords records;
  bool complete = false;
  Timer timeout(&loop, [&loop] { loop.Stop(); });
  timeout.Start(kTimeoutSeconds);
  std::function<void(const std::string&)> list = [&](const std::string& after) {
    state.List(std::string(RecordStore::kPrefix), after, [&](const KeyValueResponse& response) {
      if (response.status != KeyValueStatus::kOk) {
        loop.Stop();
        return;
      }
      for (const KeyValue& page : response.entries) records.AddPage(page.value);
      if (response.truncated && !response.entries.empty()) {
        list(response.entries.back().key);
        return;
      }
      complete = true;
      loop.Stop();
    });
  };
  list("");
  loop.Run();
  if (!complete) {
    std::cerr << "deckhall: the state service does not answer" << std::endl;
    return 1;
  }
  std::cout << DescribeDrains(records, clock.Wall()) << std::flush;
  return 0;
}

}  // namespace deckhall
