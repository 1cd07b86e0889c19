// The end of a leader: responses that arrive after it, its memory, and the users that wait.
#include <gtest/gtest.h>

#include "app/leader_lifecycle.h"
#include "fakes.h"
#include "leader/election.h"

namespace deckhall {
namespace {

// Counts its reads: a part of a leader that handles a response reads the clock.
struct CountingClock : FakeClock {
  mutable int reads = 0;
  double Now() const override {
    ++reads;
    return FakeClock::Now();
  }
};

class RetiredLeader : public ::testing::Test {
 protected:
  RetiredLeader() : lifecycle_(&clock_, &settings_, &tuning_) {
    lease_.clock = &clock_;
    settings_.label = "n0";
    settings_.zones = {"east", "west"};
    settings_.teams = {{"blue", 0, 0, 0, 0}};
    cloud_.types = {BoxType(settings_.zones)};
  }

  // Starts the leader of a new term. Returns a handle that expires with the leader.
  std::weak_ptr<int> StartLeader() {
    ++state_.revision;
    state_.keys[Election::kKey] = {"{}", state_.revision, 0};
    const auto lifetime = std::make_shared<int>();
    LeaderPorts ports;
    ports.key_value_store = &state_;
    ports.cloud = &cloud_;
    ports.workers = &workers_;
    ports.clock = &clock_;
    ports.lease = &lease_;
    ports.is_zone_suspected = [lifetime](const std::string&) { return false; };
    lifecycle_.CreateLeader(ports, state_.revision)->Start();
    return lifetime;
  }

  void DeliverResponses() {
    state_.Run();
    cloud_.Run();
    workers_.Run();
  }

  void RunLeader(double seconds) {
    for (const double end = clock_.now + seconds; clock_.now < end; clock_.now += 0.25) {
      DeliverResponses();
      lifecycle_.current()->Tick();
    }
  }

  // Leaves a request outstanding at each service: a transaction with the record of a job, whose
  // user waits; a scale-out request or a list of instances; commands or probes of a machine.
  void LeaveRequestsOutstanding(const std::string& job) {
    Leader* leader = lifecycle_.current();
    RunLeader(2);
    leader->HandleJobRequest(LargeArraySubmission(job + "-a"), [](const JobResponse&) {});
    state_.Run();
    SendHeartbeat();
    for (int i = 0; i < 4; ++i) {
      clock_.now += 1;
      state_.Run();
      leader->Tick();
    }
    leader->HandleJobRequest(LargeArraySubmission(job + "-b"), [this](const JobResponse& response) {
      waiting_user_responses_.push_back(response.status);
    });
    EXPECT_FALSE(state_.queue.empty());
    EXPECT_FALSE(cloud_.queue.empty());
    EXPECT_FALSE(workers_.queue.empty());
    EXPECT_TRUE(waiting_user_responses_.empty());
  }

  void SendHeartbeat() {
    FakeWorker& worker = workers_.by_endpoint["m-1:1"];
    worker.heartbeat.machine = "m-1";
    worker.heartbeat.endpoint = "m-1:1";
    worker.heartbeat.type = "box";
    worker.heartbeat.zone = "east";
    worker.heartbeat.agent_epoch = 1;
    ++worker.heartbeat.sequence;
    lifecycle_.current()->HandleHeartbeat(worker.heartbeat);
  }

  CountingClock clock_;
  FakeState state_;
  FakeCloud cloud_;
  FakeWorkers workers_;
  FakeLease lease_;
  Settings settings_;
  Tuning tuning_;
  LeaderLifecycle lifecycle_;
  std::vector<int> waiting_user_responses_;
};

// review/3: a former leader was destroyed when its retention time was over, before the responses
// to its requests had come or timed out, and these were then handled by destroyed objects.
TEST_F(RetiredLeader, ResponsesAfterItsDestructionReachNoPartOfIt) {
  const std::weak_ptr<int> leader = StartLeader();
  LeaveRequestsOutstanding("job-1");
  EXPECT_FALSE(cloud_.scale_out_requests.empty());
  lifecycle_.RetireLeader();
  lifecycle_.DestroyRetiredLeaders();
  EXPECT_TRUE(leader.expired());
  clock_.reads = 0;
  DeliverResponses();
  EXPECT_EQ(clock_.reads, 0);
  EXPECT_TRUE(state_.queue.empty() && cloud_.queue.empty() && workers_.queue.empty());
}

TEST_F(RetiredLeader, ResponsesBetweenItsEndAndItsDestructionAreDropped) {
  StartLeader();
  LeaveRequestsOutstanding("job-1");
  lifecycle_.RetireLeader();
  clock_.reads = 0;
  DeliverResponses();
  EXPECT_EQ(clock_.reads, 0);
}

// Each leader leaves requests outstanding that are never answered while the test runs.
TEST_F(RetiredLeader, HundredLeadersLeaveNoneInMemory) {
  constexpr int kLeaders = 100;
  std::vector<std::weak_ptr<int>> leaders;
  std::vector<std::function<void()>> late_responses;
  for (int i = 0; i < kLeaders; ++i) {
    leaders.push_back(StartLeader());
    LeaveRequestsOutstanding("job-" + std::to_string(i));
    for (auto* queue : {&state_.queue, &cloud_.queue, &workers_.queue}) {
      late_responses.insert(late_responses.end(), queue->begin(), queue->end());
      queue->clear();
    }
    lifecycle_.RetireLeader();
    lifecycle_.DestroyRetiredLeaders();
    EXPECT_EQ(waiting_user_responses_, std::vector<int>{503});
    waiting_user_responses_.clear();
    const auto in_memory = std::count_if(leaders.begin(), leaders.end(),
                                         [](const auto& leader) { return !leader.expired(); });
    ASSERT_EQ(in_memory, 0) << "after " << i + 1 << " leaders";
  }
  EXPECT_GE(late_responses.size(), 3U * kLeaders);
  clock_.reads = 0;
  for (const std::function<void()>& respond : late_responses) respond();
  EXPECT_EQ(clock_.reads, 0);
}

TEST_F(RetiredLeader, WaitingUserIsAnsweredOnce) {
  StartLeader();
  LeaveRequestsOutstanding("job-1");
  lifecycle_.RetireLeader();
  EXPECT_EQ(waiting_user_responses_, std::vector<int>{503});
  lifecycle_.DestroyRetiredLeaders();
  DeliverResponses();
  EXPECT_EQ(waiting_user_responses_, std::vector<int>{503});
}

// A conflict shows that the term has ended while the response that says so is being handled.
TEST_F(RetiredLeader, LeaderThatEndsWhileHandlingAResponseIsDestroyedAfterwards) {
  const std::weak_ptr<int> leader = StartLeader();
  RunLeader(2);
  bool lost = false;
  lifecycle_.current()->on_leadership_lost = [&](const char*) {
    lost = true;
    lifecycle_.RetireLeader();
    lifecycle_.DestroyRetiredLeaders();
    EXPECT_FALSE(leader.expired());
  };
  ++state_.revision;
  state_.keys[Election::kKey] = {"{}", state_.revision, 0};
  lifecycle_.current()->HandleJobRequest(LargeArraySubmission("job-1"), [](const JobResponse&) {});
  state_.Run();
  ASSERT_TRUE(lost);
  lifecycle_.DestroyRetiredLeaders();
  EXPECT_TRUE(leader.expired());
}

TEST_F(RetiredLeader, LeaderThatEndsWhileServingAUserIsDestroyedAfterwards) {
  const std::weak_ptr<int> leader = StartLeader();
  RunLeader(2);
  JobRequest question;
  question.operation = JobOperation::kGet;
  question.job_id = "job-unknown";
  int status = 0;
  lifecycle_.current()->HandleJobRequest(question, [&](const JobResponse& response) {
    status = response.status;
    lifecycle_.RetireLeader();
    lifecycle_.DestroyRetiredLeaders();
    EXPECT_FALSE(leader.expired());
  });
  EXPECT_EQ(status, 404);
  lifecycle_.DestroyRetiredLeaders();
  EXPECT_TRUE(leader.expired());
}

TEST_F(RetiredLeader, NewLeaderReplacesOneThatWasNotRetired) {
  const std::weak_ptr<int> former = StartLeader();
  LeaveRequestsOutstanding("job-1");
  const std::weak_ptr<int> current = StartLeader();
  EXPECT_EQ(waiting_user_responses_, std::vector<int>{503});
  lifecycle_.DestroyRetiredLeaders();
  EXPECT_TRUE(former.expired());
  EXPECT_FALSE(current.expired());
}

}  // namespace
}  // namespace deckhall
