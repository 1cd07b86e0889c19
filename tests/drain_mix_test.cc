// Drains under randomized faults, with several real controllers. Guards against evictions beyond a
// team's budget, caused by faults and leader changes during a drain, and against drains that
// neither finish nor report a reason. DECKHALL_DRAIN_MIX=SEED runs 1000 seeds from SEED on; with
// DECKHALL_MIX_ONE also set, only SEED runs, with debug logs.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "cluster.h"

namespace deckhall {
namespace {

constexpr double kSettleSeconds = 4;

class RandomDrainMix {
 public:
  explicit RandomDrainMix(uint64_t seed)
      : cluster_(seed, seed % 4 == 0 ? 5 : 3, SettingsForSeed(seed)) {
    const double detect_s =
        cluster_.settings.heartbeat_interval_s * 1.3 + 0.5 + kDetectionSlackSeconds;
    cluster_.disruption = std::make_unique<DisruptionOracle>(
        detect_s, PolicyReplicator::kConfirmationSeconds, kSettleSeconds);
  }

  std::string RunScenario() {
    const int machines = Chance(0.3) ? 18 : 9;
    for (int i = 0; i < machines; ++i) cluster_.AddWorker(kZones[i % 3]);
    cluster_.available_machines = Chance(0.7) ? 20 : 0;
    if (Chance(0.3)) cluster_.delayed_commit_share = 0.1;
    if (Chance(0.3)) cluster_.state_delay_s = 0.3;
    if (Chance(0.3)) cluster_.delayed_command_share = 0.2;
    if (Chance(0.3)) cluster_.lost_response_share = 0.2;
    cluster_.Run(8);
    for (int i = 0; i < 5; ++i) NewJob();
    cluster_.Run(15);
    ChangePolicy();
    for (int i = 0; i < 25; ++i) {
      cluster_.Run(Between(0.5, 8));
      if (Chance(0.2)) NewJob();
      if (Chance(0.1)) cluster_.Cancel(jobs_[RandomIndex(jobs_.size())]);
      if (Chance(0.25)) ChangePolicy();
      if (Chance(0.6)) InjectFault();
    }
    StopFaults();
    cluster_.Run(200);
    return CheckOutcome();
  }
  size_t stops() const { return cluster_.disruption->stops(); }

 private:
  static constexpr const char* kZones[] = {"east", "west", "north"};
  static constexpr const char* kTeams[] = {"blue", "red"};
  // Covers periodic checks and messages that are delayed while a machine is lost.
  static constexpr double kDetectionSlackSeconds = 1;

  static Settings SettingsForSeed(uint64_t seed) {
    Settings settings;
    settings.heartbeat_interval_s = seed % 2 == 0 ? 3 : 1.5;
    settings.lease_s = 20;
    settings.cancel_s = 45;
    settings.current_state_limits.value_kb = settings.effective_state_limits.value_kb =
        seed % 3 == 0 ? 4 : 8;
    return settings;
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(cluster_.random()) < probability;
  }
  double Between(double min, double max) {
    return std::uniform_real_distribution<double>(min, max)(cluster_.random());
  }
  size_t RandomIndex(size_t size) {
    return std::uniform_int_distribution<size_t>(0, size - 1)(cluster_.random());
  }
  std::string RandomMachine() {
    auto it = cluster_.workers.begin();
    std::advance(it, RandomIndex(cluster_.workers.size()));
    return it->first;
  }

  void NewJob() {
    const std::string id = "job-" + std::to_string(jobs_.size() + 1);
    const auto tasks = static_cast<uint32_t>(1 + RandomIndex(4));
    JobSpec spec = Chance(0.75) ? cluster_.Service(id, tasks) : cluster_.Array(id, tasks);
    spec.team = kTeams[RandomIndex(2)];
    if (Chance(0.2)) spec.single_zone = true;
    if (Chance(0.2)) spec.anti_affinity = true;
    cluster_.array_run_s = Between(5, 40);
    jobs_.push_back(id);
    cluster_.Submit(spec);
  }

  std::string RandomDrain(int number) {
    std::string selection;
    switch (RandomIndex(5)) {
      case 0:
        selection = "(zone \"" + std::string(kZones[RandomIndex(3)]) + "\")";
        break;
      case 1:
        selection = Chance(0.3) ? "(everything)" : "(type \"box\")";
        break;
      default:
        for (size_t i = 0; i <= RandomIndex(4); ++i)
          selection += "(machine \"" + RandomMachine() + "\")";
    }
    if (Chance(0.3)) selection += "(deadline-s \"" + std::to_string(RandomIndex(60)) + "\")";
    if (Chance(0.1)) selection += "(paused)";
    return "(drain \"d-" + std::to_string(number) + "\" " + selection + ") ";
  }

  // Sets a new policy revision with random budgets; some drains are kept, some withdrawn, some
  // added.
  void ChangePolicy() {
    std::string budgets;
    for (const char* team : kTeams) {
      const uint64_t max_down = RandomIndex(4) == 0 ? 0 : 1 + RandomIndex(2);
      budgets += std::string("(team \"") + team + "\" (down \"" + std::to_string(max_down) +
                 "\") (stopped \"" + std::to_string(RandomIndex(6)) + "\")) ";
      cluster_.disruption->SetBudget(cluster_.now(), team, max_down);
    }
    std::erase_if(drains_, [this](const auto&) { return Chance(0.3); });
    const size_t new_drains = RandomIndex(3);
    for (size_t i = 0; i < new_drains; ++i) {
      ++last_drain_number_;
      drains_[last_drain_number_] = RandomDrain(last_drain_number_);
    }
    std::string drains_section;
    for (const auto& [number, drain] : drains_) drains_section += drain;
    SetPolicy(budgets, drains_section);
  }

  void SetPolicy(const std::string& budgets, const std::string& drains) {
    cluster_.SetPolicy("(disruption (revision \"" + std::to_string(++revision_) + "\") (budgets " +
                       budgets + ") (drains " + drains + ") (steps (settle-s \"" +
                       std::to_string(kSettleSeconds) +
                       "\") (image-wait-s \"3\") (window-s \"30\") "
                       "(replace-within-s \"20\")))");
  }

  void InjectFault() {
    const double duration_s = Chance(0.3) ? Between(15, 40) : Between(0.5, 12);
    const size_t leader = cluster_.Leader();
    const size_t node_index = leader != SIZE_MAX && Chance(0.7) ? leader : RandomIndex(3);
    const std::string node = "n" + std::to_string(node_index);
    const size_t fault = RandomIndex(11);
    spdlog::debug("at {} s: injecting fault {} with node {} for {} s", cluster_.now(), fault, node,
                  duration_s);
    switch (fault) {
      case 0:
      case 1:
        cluster_.Crash(node_index);
        cluster_.Run(Between(0.05, 5));
        cluster_.Boot(node_index);
        break;
      case 2:
        cluster_.Freeze(node_index, Between(0.5, 12));
        break;
      case 3:
        cluster_.KillMachine(RandomMachine());
        break;
      case 4:
        cluster_.Hang(RandomMachine(), duration_s);
        break;
      case 5:
        cluster_.MakeOneWayReachable(RandomMachine(), duration_s);
        break;
      case 6:
        cluster_.StateOutage(duration_s);
        break;
      case 7:
        cluster_.PartitionZone(kZones[RandomIndex(3)], duration_s,
                               Chance(0.5) ? PartitionMode::kDelay : PartitionMode::kDrop);
        break;
      case 8:
        cluster_.cloud_unavailable = !cluster_.cloud_unavailable;
        break;
      case 9:
        cluster_.Partition(node, "workers", duration_s, PartitionMode::kDelay);
        break;
      default:
        cluster_.Partition(node, "state", duration_s, PartitionMode::kRefuse);
        break;
    }
  }

  void StopFaults() {
    cluster_.delayed_commit_share = cluster_.delayed_command_share = cluster_.lost_response_share =
        cluster_.state_delay_s = 0;
    cluster_.cloud_unavailable = false;
    cluster_.array_run_s = 3;
    for (size_t i = 0; i < 3; ++i) cluster_.Boot(i);
    for (int i = 0; i < 9; ++i) cluster_.AddWorker(kZones[i % 3]);
    cluster_.oracle->SuspendLivenessChecksUntil(cluster_.now() + 60);
  }

  std::string CheckOutcome() {
    std::string failures = cluster_.Violations();
    for (const std::string& line : cluster_.disruption->violations()) failures += line + "\n";
    const size_t leader = cluster_.Leader();
    if (leader == SIZE_MAX) return failures + "no controller leads";
    const std::vector<DrainProgress> progress =
        cluster_.node(leader)->leader()->eviction_controller().Progress();
    if (progress.size() != drains_.size()) failures += "the leader does not report all drains\n";
    for (const DrainProgress& drain_progress : progress) {
      if (drain_progress.state != DrainState::kDone && drain_progress.blocked_reason.empty()) {
        failures += drain_progress.drain + ": unfinished without a reason, machines left: " +
                    std::to_string(drain_progress.machines_left) + "\n";
      }
    }
    return failures;
  }

  Cluster cluster_;
  std::vector<std::string> jobs_;
  std::map<int, std::string> drains_;
  int last_drain_number_ = 0;
  uint64_t revision_ = 0;
};

TEST(RandomDrainMix, EvictionsUnderRandomFaultsStayWithinBudgets) {
  uint64_t first_seed = 1;
  uint64_t count = 200;
  const bool single_seed = std::getenv("DECKHALL_MIX_ONE") != nullptr;
  if (const char* first_seed_text = std::getenv("DECKHALL_DRAIN_MIX")) {
    first_seed = std::stoull(first_seed_text);
    count = single_seed ? 1 : 1000;
  }
  if (single_seed) spdlog::set_level(spdlog::level::debug);
  size_t stops = 0;
  for (uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
    RandomDrainMix mix(seed);
    EXPECT_EQ(mix.RunScenario(), "") << "seed " << seed;
    stops += mix.stops();
  }
  // The budgets are tested only if runs evict replicas: more than one per run on average.
  EXPECT_GT(stops, count);
}

}  // namespace
}  // namespace deckhall
