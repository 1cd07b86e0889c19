// Launches whose messages are held up, lost, overtaken or delivered again while their tasks fail,
// end, are cancelled or move to other machines: seeded random walks over one leader at a time and
// workers whose messages arrive in any order that PROTOCOL allows. Other seeds:
// DECKHALL_LAUNCH_WALK=FROM runs five thousand from FROM on.
#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <random>

#include "fakes.h"

namespace deckhall {
namespace {

// A worker drops a response that arrives later after its heartbeat. See PROTOCOL, "Workers".
constexpr double kResponseTimeoutSeconds = 4;
constexpr size_t kMachines = 3;
constexpr int kSteps = 600;
// Of a worker, for copies: with some two commands a second, well over a lease.
constexpr size_t kRecentCommands = 60;
// For back-offs and quarantines after failures, and for tasks that wait for others to end.
constexpr double kRecoverySeconds = 240;

// A heartbeat on its way to the leader, or answered with the response still on its way back.
struct HeartbeatExchange {
  Heartbeat heartbeat;
  double sent_at = 0;
  std::optional<HeartbeatResponse> response;
};

// The network and the lease of one worker. One heartbeat at a time awaits its response.
struct WorkerChannel {
  FakeWorker* worker = nullptr;
  std::optional<HeartbeatExchange> exchange;
  std::vector<Heartbeat> late_heartbeats;  // given up or copied; their responses reach nobody
  double lease_start = 0;
  double partitioned_until = -1;
};

class DelayedLaunchScenario {
 public:
  // `copy_share` is the probability that a direct command of each worker arrives once more in a
  // step.
  explicit DelayedLaunchScenario(uint64_t seed, double copy_share = 0)
      : random_(seed), copy_random_(seed), copy_share_(copy_share) {
    world_.cloud.out_of_capacity = true;
    world_.settings.teams = {{"blue", 0, 0, 0, 0}};
    world_.StartLeader();
    while (channels_.size() < kMachines) AddMachine();
  }

  // Returns the first violation of a rule; empty if there is none.
  std::string Execute() {
    for (int i = 0; i < kSteps && violation_.empty(); ++i) {
      world_.clock.now += Between(0.02, 0.4);
      SendUserRequests();
      ReplaceReleasedMachines();
      for (WorkerChannel& channel : channels_) StepWorker(&channel);
      if (Chance(0.004)) world_.StartLeader();
      world_.ProcessPending();
      ReplaceReleasedMachines();
      Check("direct command");
    }
    if (violation_.empty()) Recover();
    return violation_;
  }
  size_t starts() const { return starts_; }

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  double Between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  size_t RandomIndex(size_t size) {
    return std::uniform_int_distribution<size_t>(0, size - 1)(random_);
  }

  void AddMachine() {
    WorkerChannel& channel = channels_.emplace_back();
    channel.worker = &world_.AddMachine("m-" + std::to_string(++machines_), "east");
    channel.worker->gang_jobs = gang_jobs_;
    channel.lease_start = world_.clock.now;
  }

  void SendUserRequests() {
    if (Chance(0.08)) SubmitJob();
    if (!jobs_.empty() && Chance(0.03)) CancelJob(jobs_[RandomIndex(jobs_.size())].id);
  }
  void SubmitJob() {
    const std::string id = "job-" + std::to_string(jobs_.size() + 1);
    JobSpec spec = Chance(0.2) ? world_.Service(id, 1, 1) : world_.Array(id, 1, 1);
    if (!spec.service && Chance(0.25)) {
      spec.gang = true;
      spec.task_count = 2;
      gang_jobs_.insert(id);
      for (WorkerChannel& channel : channels_) channel.worker->gang_jobs.insert(id);
    }
    world_.Submit(spec);
    jobs_.push_back(spec);
  }
  void CancelJob(const std::string& id) {
    const JobResponse response = world_.SendRequest(JobOperation::kCancel, id);
    if (response.status == 200 && response.state == JobState::kCancelled)
      cancelled_at_.try_emplace(id, world_.clock.now);
  }

  void StepWorker(WorkerChannel* channel) {
    EndRandomTask(channel->worker);
    ExpireLease(channel);
    if (Chance(0.005)) channel->partitioned_until = world_.clock.now + Between(1, 40);
    ChooseDirectFault(channel);
    if (world_.clock.now < channel->partitioned_until) return;
    StepExchange(channel);
    DeliverLateHeartbeat(channel);
    if (Chance(0.1)) {
      channel->worker->DeliverDelayed();
      Check("delayed direct command");
    }
    if (Chance(0.5)) CompleteDirectCommands(channel->worker);
    DeliverCopy(channel->worker);
  }

  // Recent commands are copied more often: they are still of the current term.
  void DeliverCopy(FakeWorker* worker) {
    const std::vector<DirectBatch>& executed = worker->executed_batches;
    if (copy_share_ == 0 || executed.empty()) return;
    if (std::uniform_real_distribution<double>(0, 1)(copy_random_) > copy_share_) return;
    const size_t recent = std::min(executed.size(), kRecentCommands);
    const size_t age = std::uniform_int_distribution<size_t>(1, recent)(copy_random_);
    worker->ReceiveBatch(executed[executed.size() - age]);
    ++worker->heartbeat.sequence;
    Check("copy of a direct command");
  }

  // Chooses what happens to direct commands until the next step.
  void ChooseDirectFault(WorkerChannel* channel) {
    FakeWorker* worker = channel->worker;
    const bool partitioned = world_.clock.now < channel->partitioned_until;
    worker->one_way_reachable = partitioned;  // also loses the responses to probes
    worker->refuses_connections = !partitioned && Chance(0.4);
    worker->batches_to_delay = Chance(0.1) ? 1 : 0;
    worker->responses_to_lose = Chance(0.1) ? 1 : 0;
    worker->hold_completions = Chance(0.2);
  }
  static void CompleteDirectCommands(FakeWorker* worker) {
    for (const auto& complete : std::exchange(worker->held_completions, {})) complete();
  }

  void EndRandomTask(FakeWorker* worker) {
    if (worker->heartbeat.tasks.empty() || !Chance(0.3)) return;
    const TaskStatus& task = worker->heartbeat.tasks[RandomIndex(worker->heartbeat.tasks.size())];
    const ExitReason reasons[] = {ExitReason::kDone, ExitReason::kError, ExitReason::kError,
                                  ExitReason::kInsufficientCapacity};
    worker->EndTask(task.task_name, reasons[RandomIndex(std::size(reasons))]);
  }

  // When its lease expires, a worker kills its tasks and drops the response it waits for.
  void ExpireLease(WorkerChannel* channel) {
    if (world_.clock.now - channel->lease_start <= world_.settings.lease_s) return;
    channel->worker->heartbeat.tasks.clear();
    ++channel->worker->heartbeat.agent_epoch;
    channel->lease_start = world_.clock.now;
    channel->exchange.reset();
  }

  void StepExchange(WorkerChannel* channel) {
    if (!channel->exchange) {
      if (Chance(0.5)) SendHeartbeat(channel);
    } else if (world_.clock.now - channel->exchange->sent_at > kResponseTimeoutSeconds) {
      if (!channel->exchange->response)
        channel->late_heartbeats.push_back(channel->exchange->heartbeat);
      channel->exchange.reset();
    } else if (!channel->exchange->response) {
      if (Chance(0.6)) {
        channel->exchange->response = world_.leader->HandleHeartbeat(channel->exchange->heartbeat);
      }
    } else if (Chance(0.3)) {
      ReceiveResponse(channel);
    }
  }
  void SendHeartbeat(WorkerChannel* channel) {
    Heartbeat& heartbeat = channel->worker->heartbeat;
    ++heartbeat.sequence;
    channel->exchange = HeartbeatExchange{heartbeat, world_.clock.now, std::nullopt};
    if (Chance(0.1)) channel->late_heartbeats.push_back(heartbeat);
  }
  void ReceiveResponse(WorkerChannel* channel) {
    const double sent_at = channel->exchange->sent_at;
    const HeartbeatResponse response = channel->exchange->response.value();
    channel->exchange.reset();
    const uint64_t token = channel->worker->heartbeat.fencing_token;
    if (response.status == 200 && response.fencing_token >= token) channel->lease_start = sent_at;
    channel->worker->ReceiveResponse(response);
    Check("response to a heartbeat");
  }
  void DeliverLateHeartbeat(WorkerChannel* channel) {
    std::vector<Heartbeat>& late = channel->late_heartbeats;
    if (late.empty() || !Chance(0.1)) return;
    const size_t position = RandomIndex(late.size());
    world_.leader->HandleHeartbeat(late[position]);
    late.erase(late.begin() + static_cast<ptrdiff_t>(position));
  }

  // Released machines are gone with their tasks. Others are added in their place.
  void ReplaceReleasedMachines() {
    RemoveReleasedMachines();
    while (channels_.size() < kMachines) {
      AddMachine();
      RemoveReleasedMachines();
    }
  }
  void RemoveReleasedMachines() {
    const std::vector<std::string>& released = world_.cloud.released;
    const auto is_released = [&released](const WorkerChannel& channel) {
      return std::find(released.begin(), released.end(), channel.worker->heartbeat.machine) !=
             released.end();
    };
    for (WorkerChannel& channel : channels_) {
      if (!is_released(channel)) continue;
      channel.worker->unresponsive = true;
      channel.worker->heartbeat.tasks.clear();
      channel.worker->delayed_batches.clear();
    }
    std::erase_if(channels_, is_released);
  }

  // Records tasks that are on two machines, and tasks of jobs that were cancelled too long ago.
  // `cause` is the message that was delivered last.
  void Check(const char* cause) {
    std::set<std::string> active;
    for (const WorkerChannel& channel : channels_) {
      for (const TaskStatus& task : channel.worker->heartbeat.tasks) {
        if (task.state == TaskState::kExited) continue;
        if (!active.insert(task.task_name).second)
          RecordViolation("ran twice", task.task_name, cause);
        const auto cancelled = cancelled_at_.find(JobOf(task.task_name));
        if (cancelled != cancelled_at_.end() &&
            world_.clock.now > cancelled->second + world_.settings.cancel_s)
          RecordViolation("ran although cancelled", task.task_name, cause);
      }
      size_t& counted = counted_starts_[channel.worker->heartbeat.machine];
      starts_ += channel.worker->started_tasks.size() - counted;
      counted = channel.worker->started_tasks.size();
    }
  }
  static std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

  void RecordViolation(const std::string& rule, const std::string& task, const char* cause) {
    if (!violation_.empty()) return;
    violation_ =
        rule + ": " + task + " at " + std::to_string(world_.clock.now) + " s, after a " + cause;
  }

  // Without further faults every job that was not cancelled must be served.
  void Recover() {
    for (WorkerChannel& channel : channels_) {
      channel.exchange.reset();
      channel.partitioned_until = -1;
      FakeWorker* worker = channel.worker;
      worker->one_way_reachable = worker->refuses_connections = worker->hold_completions = false;
      worker->batches_to_delay = worker->responses_to_lose = 0;
      CompleteDirectCommands(worker);
    }
    for (const double time : EvenlySpacedTimes(0, kRecoverySeconds, 5)) {
      world_.AdvanceTime(5);
      ReplaceReleasedMachines();
      Check("recovery");
      if (time > kRecoverySeconds / 2) CompleteArrayTasks();
    }
    for (const JobSpec& job : jobs_) ExpectServed(job);
  }
  void CompleteArrayTasks() {
    for (const JobSpec& job : jobs_) {
      if (job.service) continue;
      for (WorkerChannel& channel : channels_) {
        for (uint32_t task = 0; task < job.task_count; ++task)
          channel.worker->EndTask(job.id + "/" + std::to_string(task), ExitReason::kDone);
      }
    }
  }
  void ExpectServed(const JobSpec& job) {
    if (cancelled_at_.contains(job.id)) return;
    const JobResponse response = world_.SendRequest(JobOperation::kGet, job.id);
    const bool served =
        response.state == JobState::kDone || (job.service && response.state == JobState::kRunning);
    if (!served) RecordViolation("not served", job.id, "recovery");
  }

  std::mt19937_64 random_;
  // For copies, so that they don't alter a seed's other random choices.
  std::mt19937_64 copy_random_;
  double copy_share_;
  LeaderTestEnvironment world_;
  std::deque<WorkerChannel> channels_;
  int machines_ = 0;
  std::vector<JobSpec> jobs_;
  std::set<std::string> gang_jobs_;
  std::map<std::string, double> cancelled_at_;
  std::map<std::string, size_t> counted_starts_;  // by machine
  size_t starts_ = 0;
  std::string violation_;
};

// Runs 100 seeds, or 5,000 from DECKHALL_LAUNCH_WALK on.
void ExpectNoViolation(double copy_share) {
  uint64_t from = 1;
  uint64_t count = 100;
  if (const char* first_seed = std::getenv("DECKHALL_LAUNCH_WALK")) {
    from = std::stoull(first_seed);
    count = 5000;
  }
  size_t starts = 0;
  for (uint64_t seed = from; seed < from + count; ++seed) {
    DelayedLaunchScenario scenario(seed, copy_share);
    EXPECT_EQ(scenario.Execute(), "") << "seed " << seed;
    starts += scenario.starts();
  }
  EXPECT_GT(starts, 20 * count);
}

// A launch held up in the response to a heartbeat was executed again after its attempt had failed
// and been cleared, while the task ran on another machine.
TEST(DelayedLaunch, NoOrderOfMessagesRunsATaskTwice) { ExpectNoViolation(0); }

TEST(DelayedLaunch, CopiesOfExecutedCommandsRunNoTaskTwice) { ExpectNoViolation(0.1); }

}  // namespace
}  // namespace deckhall
