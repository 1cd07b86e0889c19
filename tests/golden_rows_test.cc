// Golden rows: what the version in production stored is read in full, and what this version
// stores of it is the same bytes, so that production can read ours. Rows that production does
// not have are compared with literal texts. Guards rolling updates and the way back.
//
// data/production_rows.json was recorded with production's own leader: every key it wrote, with
// the texts of its rows in their order.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

#include "drain/drain_records.h"
#include "drain/policy_replicator.h"
#include "fakes.h"
#include "golden_support.h"
#include "leader/election.h"

namespace deckhall {
namespace {

constexpr uint64_t kRecordedTerm = 102;
constexpr double kAfterRecording = 1300;  // on the clock of the fakes
constexpr size_t kRoomForAll = 1 << 20;   // all rows on one page
constexpr size_t kRowReserve = 4 << 10;
constexpr uint64_t kLargeNumber = 9007199254740993;  // has no exact double
constexpr const char* kLeaderKey = "leader";         // of the fakes
constexpr const char* kFirstPage = "deckhall/pages/000000";
constexpr const char* kNotWritten = "null";  // stands for a row until it is written

using Rows = std::vector<std::string>;

std::map<std::string, Rows> Recorded() {
  std::ifstream in(DECKHALL_SOURCES "/tests/data/production_rows.json");
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  rapidjson::Document document;
  std::map<std::string, Rows> recorded;
  if (!ParseJson(text, &document) || !document.IsObject()) return recorded;
  for (rapidjson::SizeType i = 0; i < document.MemberCount(); ++i) {
    const JsonValue::Member& member = document.MemberBegin()[i];
    Rows& rows = recorded[member.name.GetString()];
    for (const JsonValue& row : member.value.GetArray()) {
      rows.emplace_back(row.GetString(), row.GetStringLength());
    }
  }
  return recorded;
}

// The rows of all pages, in the order in which a leader reads them.
Rows RecordedRows() {
  Rows all;
  for (const auto& [key, rows] : Recorded()) {
    if (key.starts_with(RecordStore::kPrefix)) all.insert(all.end(), rows.begin(), rows.end());
  }
  return all;
}

bool IsTypes(const std::string& row) { return row.starts_with("{\"T\":"); }
bool IsMachine(const std::string& row) { return row.starts_with("{\"m\":"); }
bool IsRental(const std::string& row) { return row.starts_with("{\"r\":"); }
bool IsHint(const std::string& row) {
  return row.starts_with("{\"in\":") || row.starts_with("{\"ic\":");
}
bool IsJob(const std::string& row) {
  return !IsTypes(row) && !IsMachine(row) && !IsRental(row) && !IsHint(row);
}

Rows RowsThat(bool (*wanted)(const std::string&)) {
  Rows rows;
  for (const std::string& row : RecordedRows()) {
    if (wanted(row)) rows.push_back(row);
  }
  return rows;
}

// The value of a page with these rows.
std::string PageOf(const Rows& rows) {
  std::string page = "[";
  for (const std::string& row : rows) {
    if (page.size() > 1) page += ',';
    page += row;
  }
  return page + "]";
}

// A leader of this version over the recorded pages, to which no machine answers.
struct Successor : LeaderTestEnvironment {
  Successor() {
    for (const auto& [key, rows] : Recorded()) {
      if (key.starts_with(RecordStore::kPrefix))
        state.keys[key] = {PageOf(rows), state.revision, 0};
    }
    for (const char* endpoint : {"m-1:1", "m-2:1", "m-3:1"})
      workers.by_endpoint[endpoint].unresponsive = true;
    cloud.unavailable = true;
    clock.now = kAfterRecording;
    StartLeader();
  }
  const Job& Known(const std::string& id) {
    const JobIndex index = leader->job_store().Find(id);
    EXPECT_NE(index, kNoIndex) << id;
    return leader->job_store()[index];
  }
  const deckhall::Machine& KnownMachine(const std::string& name) {
    const MachineIndex index = leader->fleet().Find(name);
    EXPECT_NE(index, kNoIndex) << name;
    return leader->fleet()[index];
  }
  Rows ImagesOn(const std::string& name) {
    Rows images;
    for (const uint32_t image : KnownMachine(name).cached_images) {
      images.push_back(leader->job_store().images[image]);
    }
    return images;
  }
};

std::vector<uint32_t> FinishedTasks(const Job& job) {
  std::vector<uint32_t> finished;
  for (uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].phase == TaskPhase::kDone) finished.push_back(task);
  }
  return finished;
}

// What was submitted to production, as far as rows keep it.

JobSpec ZoneService() {
  JobSpec spec = ServiceSpec("job-3", 1, 0.5);
  spec.zone = "east";
  return spec;
}

JobSpec ArrayWithImage() {
  JobSpec spec = ArraySpec("job-10", 10, 0.25);
  spec.image = "registry/sums:1";
  spec.image_gb = 2.5;
  return spec;
}

JobSpec LargeArray() {
  JobSpec spec = ArraySpec("job-11", 5000, 1);
  spec.team = "red";
  spec.allowed_types = std::vector<std::string>{"big"};
  spec.deadline_s = 86400;
  return spec;
}

JobSpec ServiceApart() {
  JobSpec spec = ServiceSpec("job-12", 3, 1.5);
  spec.zone = "west";
  spec.image = "registry/live:\"2\"";
  spec.anti_affinity = true;
  return spec;
}

JobSpec Gang() {
  JobSpec spec = ArraySpec("job-13", 4, 16);
  spec.team = "red";
  spec.gang = true;
  spec.priority = Priority::kUrgent;
  spec.gpus = 1;
  spec.allowed_types = std::vector<std::string>{"big", "none"};
  spec.zone = "west";
  spec.single_zone = true;
  spec.estimated_runtime_s = 1234.567;  // submitted with one more place; rows keep three
  spec.checkpoint_interval_s = 60;
  spec.checkpoint_grace_s = 5.25;
  spec.deadline_s = 3600.5;
  return spec;
}

JobSpec IdleOnSpot() {
  JobSpec spec = ArraySpec("job-14", 3, 4);
  spec.job_class = "caf\xc3\xa9";
  spec.team = "red";
  spec.priority = Priority::kIdle;
  spec.memory_gb = 0.5;
  spec.allowed_types = std::vector<std::string>{"big"};
  spec.single_zone = true;
  spec.anti_affinity = true;
  spec.spot_tolerant = true;
  spec.checkpoint_grace_s = 1;
  return spec;
}

JobSpec ProductionArray() {
  JobSpec spec = ArraySpec("job-15", 1, 2);
  spec.priority = Priority::kProduction;
  spec.allowed_types = std::vector<std::string>{"box"};
  return spec;
}

TEST(GoldenRows, TheRecordingHasRowsOfEveryKind) {
  EXPECT_EQ(RowsThat(IsTypes).size(), 1U);
  EXPECT_EQ(RowsThat(IsMachine).size(), 4U);
  EXPECT_EQ(RowsThat(IsRental).size(), 1U);
  EXPECT_EQ(RowsThat(IsHint).size(), 2U);
  EXPECT_EQ(RowsThat(IsJob).size(), 12U);
}

TEST(GoldenRows, KeysHaveTheNamesTheyHaveInProduction) {
  EXPECT_EQ(RecordStore::kPrefix, "deckhall/pages/");
  EXPECT_STREQ(Election::kKey, "deckhall/leader");
  EXPECT_STREQ(PolicyReplicator::kKey, "deckhall/disruption");
  EXPECT_TRUE(Recorded().contains(Election::kKey));
  EXPECT_TRUE(Recorded().contains(kFirstPage));
}

TEST(GoldenRows, ASuccessorKnowsEveryLiveJobOfProductionInFull) {
  Successor w;
  EXPECT_EQ(w.leader->job_store().active_jobs().size(), 7U);
  for (const JobSpec& spec : {ZoneService(), ArrayWithImage(), LargeArray(), ServiceApart(), Gang(),
                              IdleOnSpot(), ProductionArray()}) {
    SCOPED_TRACE(spec.id);
    const Job& job = w.Known(spec.id);
    EXPECT_EQ(job.lifecycle, JobLifecycle::kActive);
    EXPECT_TRUE(job.has_spec);
    EXPECT_TRUE(job.acknowledged);
    ExpectSameJob(job.spec, spec);
  }
}

TEST(GoldenRows, ASuccessorKnowsWhichTasksAreFinished) {
  Successor w;
  EXPECT_EQ(FinishedTasks(w.Known("job-10")), (std::vector<uint32_t>{0, 3, 9}));
  EXPECT_EQ(FinishedTasks(w.Known("job-11")),
            (std::vector<uint32_t>{0, 5, 4095, 4096, 4500, 4999}));
  EXPECT_EQ(FinishedTasks(w.Known("job-16")), (std::vector<uint32_t>{0, 1}));
  for (const char* id : {"job-3", "job-12", "job-13", "job-14", "job-15", "job-17"}) {
    EXPECT_TRUE(FinishedTasks(w.Known(id)).empty()) << id;
  }
  const JobResponse response = w.SendRequest(JobOperation::kGet, "job-11");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.state, JobState::kPending);
  EXPECT_EQ(response.tasks_done, 6U);
}

TEST(GoldenRows, ASuccessorKnowsTimesAndWorkLeft) {
  Successor w;
  EXPECT_EQ(w.Known("job-10").submitted_wall, 500001206.2);
  EXPECT_EQ(w.Known("job-11").submitted_wall, 500001209.2);
  EXPECT_EQ(w.Known("job-11").stored_remaining_core_seconds, 102039.088);
  EXPECT_EQ(w.Known("job-13").stored_remaining_core_seconds, 53797.48);
  EXPECT_EQ(w.Known("job-16").stored_remaining_core_seconds, 17.438);
}

TEST(GoldenRows, ASuccessorKnowsHowJobsEnded) {
  Successor w;
  EXPECT_EQ(w.Known("job-1").lifecycle, JobLifecycle::kDone);
  EXPECT_EQ(w.Known("job-2").lifecycle, JobLifecycle::kCancelled);
  EXPECT_FALSE(w.Known("job-1").has_spec);
  EXPECT_FALSE(w.Known("job-2").has_spec);
  EXPECT_EQ(w.Known("job-16").lifecycle, JobLifecycle::kDone);
  EXPECT_EQ(w.Known("job-17").lifecycle, JobLifecycle::kCancelled);
  ExpectSameJob(w.Known("job-16").spec, ArraySpec("job-16", 2, 0.5));
  ExpectSameJob(w.Known("job-17").spec, ServiceSpec("job-17", 2, 0.5));
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-2").state, JobState::kCancelled);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-16").state, JobState::kDone);
  EXPECT_EQ(w.SendRequest(JobOperation::kGet, "job-17").state, JobState::kCancelled);
}

struct ExpectedMachine {
  std::string name;
  std::string endpoint;
  std::string zone;
  bool spot = false;
  double rented_wall = 0;
  double unanswered_since = -1;
};

TEST(GoldenRows, ASuccessorKnowsEveryMachine) {
  Successor w;
  const std::vector<ExpectedMachine> machines = {
      {"m-1", "m-1:1", "east", false, 500001000.2, -1},
      {"m-2", "m-2:1", "west", true, 500001000.2, -1},
      {"m-3", "m-3:1", "west", false, 500001206.2, 500001238.95},
      {"m-90", "", "east", false, 500001237.2, -1}};
  EXPECT_EQ(w.leader->fleet().size(), machines.size());
  for (const ExpectedMachine& expected : machines) {
    SCOPED_TRACE(expected.name);
    const Machine& machine = w.KnownMachine(expected.name);
    EXPECT_EQ(machine.endpoint, expected.endpoint);
    EXPECT_EQ(w.leader->job_store().types[machine.type], "box");
    EXPECT_EQ(w.leader->job_store().zones[machine.zone], expected.zone);
    EXPECT_EQ(machine.spot, expected.spot);
    EXPECT_EQ(machine.provisioned_at_wall, expected.rented_wall);
    EXPECT_EQ(machine.unrenewed_since_wall, expected.unanswered_since);
    EXPECT_EQ(machine.may_run_former_attempts, !expected.endpoint.empty());
  }
}

TEST(GoldenRows, ASuccessorKnowsWhichImagesMachinesHold) {
  Successor w;
  EXPECT_EQ(w.ImagesOn("m-1"), (Rows{"registry/sums:1", "img"}));
  EXPECT_TRUE(w.ImagesOn("m-2").empty());
  EXPECT_EQ(w.ImagesOn("m-3"), (Rows{"registry/live:\"2\""}));
}

TEST(GoldenRows, ASuccessorAsksAgainForARentalThatWasNotAnswered) {
  Successor w;
  const std::pair<std::string, int> rental("r-102-10", 2);
  EXPECT_EQ(
      std::count(w.cloud.scale_out_requests.begin(), w.cloud.scale_out_requests.end(), rental), 1);
}

// Everything that writes rows, over an empty store. Rows are handed to it as if they were loaded;
// what it then writes of them shows in their place.
struct Books {
  FakeClock clock;
  FakeState state;
  FakeCloud cloud;
  RecordStore store;
  JobStore book;
  Fleet fleet;
  Provisioner rentals;
  CacheHints hints;

  Books()
      : store(&state, &clock, OnePage(), kLeaderKey, kRecordedTerm),
        book(&store),
        fleet(&book, &clock, kRecordedTerm, FleetOptions()),
        rentals(&cloud, &store, &fleet, &book, &clock, kRecordedTerm, ProvisionerOptions()),
        hints(&store, &book, &fleet, kRowReserve) {
    state.revision = kRecordedTerm;
    state.keys[kLeaderKey] = {"{}", kRecordedTerm, 0};
    clock.now = kAfterRecording;
  }
  static RecordStoreLimits OnePage() {
    RecordStoreLimits limits;
    limits.max_value_bytes = limits.fill_bytes = limits.current_max_value_bytes = kRoomForAll;
    return limits;
  }
  void Read(const Rows& rows) {
    for (const std::string& text : rows) {
      const RecordId row = store.Add(kNotWritten, kRowReserve, WritePriority::kBackground);
      const bool read = rentals.LoadRecord(row, text) || hints.LoadRecord(row, text) ||
                        book.LoadRecord(row, text);
      EXPECT_TRUE(read) << text;
    }
    book.FinishLoad(clock.Now(), clock.Wall());
    hints.FinishLoad();
  }
  // The page's value, once all is written.
  std::string Page() {
    for (int i = 0; i < 10; ++i) {
      clock.now += 1;
      store.Flush();
      state.Run();
    }
    EXPECT_EQ(state.keys.size(), 2U);
    return state.keys[kFirstPage].value;
  }
  void SaveJob(const std::string& id) {
    const JobIndex index = book.Find(id);
    Job& job = book[index];
    job.remaining_core_seconds =
        job.stored_remaining_core_seconds;  // as a leader that took over does
    book.Save(index, WritePriority::kImmediate);
  }
  // Writes the row that has the task among its finished ones.
  void SaveFinishedTask(const std::string& id, uint32_t task) {
    const JobIndex index = book.Find(id);
    Job& job = book[index];
    ASSERT_EQ(job.tasks[task].phase, TaskPhase::kDone);
    job.tasks[task].phase = TaskPhase::kUnreconciled;
    --job.tasks_done;
    ++job.tasks_unreconciled;
    book.MarkTaskDone(index, task);
  }
};

TEST(GoldenRows, JobRowsAreWrittenAsInProduction) {
  const Rows rows = RowsThat(IsJob);
  Books books;
  books.Read(rows);
  for (const char* id : {"job-1", "job-2", "job-3", "job-10", "job-11", "job-12", "job-13",
                         "job-14", "job-15", "job-16", "job-17"}) {
    books.SaveJob(id);
  }
  books.SaveFinishedTask("job-11", 4500);
  EXPECT_EQ(books.Page(), PageOf(rows));
}

TEST(GoldenRows, MachineRowsAreWrittenAsInProduction) {
  const Rows rows = RowsThat(IsMachine);
  Books books;
  books.Read(rows);
  for (MachineIndex machine = 0; machine < books.fleet.size(); ++machine) {
    books.rentals.SaveMachine(machine, WritePriority::kImmediate);
  }
  EXPECT_EQ(books.Page(), PageOf(rows));
}

TEST(GoldenRows, MachineTypesAreReadIntoEveryFieldAndWrittenAsInProduction) {
  const Rows rows = RowsThat(IsTypes);
  Books reader;
  reader.Read(rows);
  const std::vector<MachineType>& types = reader.rentals.types();
  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[0].name, "box");
  EXPECT_EQ(types[0].zones, (Rows{"east", "west"}));
  EXPECT_EQ(types[1].name, "big");
  EXPECT_EQ(types[1].cores, 64);
  EXPECT_EQ(types[1].gpus, 4);
  EXPECT_EQ(types[1].memory_gb, 512);
  EXPECT_EQ(types[1].cache_gb, 200.5);
  EXPECT_EQ(types[1].fetch_gb_per_s, 0.125);
  EXPECT_EQ(types[1].price, 9.87654);
  EXPECT_EQ(types[1].spot_price, 3.21);
  EXPECT_EQ(types[1].boot_s, 45.5);
  EXPECT_EQ(types[1].zones, (Rows{"west"}));
  Books writer;
  writer.cloud.types = types;
  writer.rentals.Start();
  writer.rentals.Tick(true);
  writer.cloud.Run();
  EXPECT_EQ(writer.Page(), PageOf(rows));
}

TEST(GoldenRows, RentalRequestsAreWrittenAsInProduction) {
  const Rows rows = RowsThat(IsRental);
  Books books;
  books.Read(RowsThat(IsTypes));
  uint32_t pool = 0;
  while (!books.rentals.pools()[pool].spot) ++pool;
  // The recorded one is the tenth of its term.
  for (int i = 0; i < 10; ++i) books.rentals.ScaleOut(pool, 2, "golden");
  const std::string page = books.Page();
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_TRUE(page.ends_with("," + rows.front() + "]")) << page;
}

TEST(GoldenRows, CacheHintsAreWrittenAsInProduction) {
  const Rows rows = RowsThat(IsHint);
  Books books;
  books.Read(RecordedRows());
  books.hints.Save();  // in new rows, at the end
  const std::string page = books.Page();
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_TRUE(page.ends_with("," + rows[0] + "," + rows[1] + "]")) << page;
}

TEST(GoldenRows, TheLeaderKeyIsWrittenAsInProduction) {
  FakeClock clock;
  FakeState state;
  ElectionOptions options;
  options.label = "n0";
  options.instance = kLargeNumber;
  Election election(&state, &clock, options);
  for (int i = 0; i < 20 && !election.HoldsKey(); ++i) {
    election.Tick();
    state.Run();
    clock.now += 0.1;
  }
  ASSERT_TRUE(election.HoldsKey());
  EXPECT_EQ(state.keys[Election::kKey].value, Recorded()[Election::kKey].front());
  EXPECT_EQ(state.keys[Election::kKey].value,
            R"({"label":"n0","instance":9007199254740993,"lease":1})");
}

TEST(GoldenRows, AnotherNodeReadsWhoLeadsFromProductionsKey) {
  FakeClock clock;
  FakeState state;
  state.keys[Election::kKey] = {Recorded()[Election::kKey].front(), kRecordedTerm, 1};
  ElectionOptions options;
  options.label = "n1";
  options.instance = 7;
  Election election(&state, &clock, options);
  election.Tick();
  state.Run();
  EXPECT_EQ(election.leader_label(), "n0");
  EXPECT_EQ(election.leader_term(), kRecordedTerm);
}

// All fields of its own node's former process are used: its lease is ended.
TEST(GoldenRows, ALaterProcessOfTheSameNodeEndsTheLeaseInProductionsKey) {
  FakeClock clock;
  FakeState state;
  state.leases[1] = true;
  state.keys[Election::kKey] = {Recorded()[Election::kKey].front(), kRecordedTerm, 1};
  ElectionOptions options;
  options.label = "n0";
  options.instance = 7;
  Election election(&state, &clock, options);
  election.Tick();
  state.Run();
  EXPECT_FALSE(state.leases.contains(1));
}

DrainProgress FullProgress() {
  DrainProgress progress;
  progress.drain = "west";
  progress.state = DrainState::kPaused;
  progress.since_wall = 500001000.25;
  progress.machines_done = 1;
  progress.machines_left = 2;
  progress.replicas_moved = 3;
  progress.replicas_moving = 4;
  progress.tasks_stopped = 5;
  progress.evictions_given_up = 6;
  progress.blocked_reason = "waits for \"room\"";
  progress.waiting_since_wall = 500001100.5;
  return progress;
}

constexpr const char* kFullProgress =
    R"({"drain":"west","state":"paused","since":500001000.25,"machines_done":1,)"
    R"("machines_left":2,"replicas_moved":3,"replicas_moving":4,"tasks_stopped":5,"given_up":6,)"
    R"("why":"waits for \"room\"","waiting_since":500001100.5})";

constexpr const char* kMinimalProgress =
    R"({"drain":"","state":"active","since":0.0,"machines_done":0,"machines_left":0,)"
    R"("replicas_moved":0,"replicas_moving":0,"tasks_stopped":0,"given_up":0,"why":"",)"
    R"("waiting_since":0.0})";

TEST(GoldenRows, DrainProgressIsWrittenAndReadAsEver) {
  EXPECT_EQ(EncodeProgress(FullProgress()), kFullProgress);
  EXPECT_EQ(EncodeProgress(DrainProgress()), kMinimalProgress);
  EXPECT_EQ(DecodeProgress(kFullProgress), FullProgress());
  EXPECT_EQ(DecodeProgress(kMinimalProgress), DrainProgress());
}

TEST(GoldenRows, EveryDrainStateHasItsWord) {
  const std::vector<std::pair<DrainState, std::string>> words = {{DrainState::kActive, "active"},
                                                                 {DrainState::kPaused, "paused"},
                                                                 {DrainState::kDone, "done"}};
  for (const auto& [state, word] : words) {
    EXPECT_EQ(DrainStateName(state), word);
    const auto read = DecodeProgress(R"({"drain":"west","state":")" + word + R"("})");
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->state, state) << word;
  }
}

TEST(GoldenRows, DrainStepsAreWrittenAndReadAsEver) {
  EvictionRecord step;
  step.drain = "west";
  step.job = "job-12";
  step.task = 3;
  step.machine = "m-1";
  step.attempt = kLargeNumber;
  step.since_wall = 500001000.25;
  const std::string text = R"({"drain_step":"west","job":"job-12","task":3,"machine":"m-1",)"
                           R"("attempt":9007199254740993,"since":500001000.25})";
  EXPECT_EQ(EncodeEviction(step), text);
  const auto read = DecodeEviction(text);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->drain, step.drain);
  EXPECT_EQ(read->job, step.job);
  EXPECT_EQ(read->task, step.task);
  EXPECT_EQ(read->machine, step.machine);
  EXPECT_EQ(read->attempt, step.attempt);
  EXPECT_EQ(read->since_wall, step.since_wall);
  EXPECT_EQ(EncodeEviction(EvictionRecord()),
            R"({"drain_step":"","job":"","task":0,"machine":"","attempt":0,"since":0.0})");
}

constexpr const char* kPolicyText =
    R"((disruption (revision "7") (drains (drain "west" (zone "west")))))";
constexpr const char* kStoredPolicy =
    R"json({"revision":7,"text":"(disruption (revision \"7\") (drains (drain \"west\" )json"
    R"json((zone \"west\"))))"})json";

std::shared_ptr<DisruptionPolicy> PolicyOf(const std::string& text) {
  auto policy = ReadPolicy(text);
  if (!policy.has_value()) throw std::invalid_argument(DescribeError(policy.error()));
  return std::make_shared<DisruptionPolicy>(std::move(policy.value()));
}

TEST(GoldenRows, TheDisruptionPolicyIsWrittenAsEver) {
  EXPECT_EQ(EncodePolicy(*PolicyOf(kPolicyText)), kStoredPolicy);
  EXPECT_EQ(EncodePolicy(DisruptionPolicy()), R"({"revision":0,"text":""})");
  LeaderTestEnvironment w;
  PolicyReplicator replicator(&w.state, &w.clock, &w.settings);
  replicator.SetLocalPolicy(PolicyOf(kPolicyText));
  replicator.Tick();
  w.state.Run();
  EXPECT_EQ(w.state.keys["deckhall/disruption"].value, kStoredPolicy);
}

TEST(GoldenRows, AStoredDisruptionPolicyOfAHigherRevisionIsTakenOver) {
  LeaderTestEnvironment w;
  w.state.keys["deckhall/disruption"] = {kStoredPolicy, w.state.revision, 0};
  PolicyReplicator replicator(&w.state, &w.clock, &w.settings);
  replicator.SetLocalPolicy(PolicyOf(R"((disruption (revision "1")))"));
  replicator.Tick();
  w.state.Run();
  ASSERT_NE(replicator.in_force(), nullptr);
  EXPECT_EQ(replicator.in_force()->revision, 7U);
  EXPECT_EQ(replicator.in_force()->text, kPolicyText);
  ASSERT_EQ(replicator.in_force()->drains.size(), 1U);
  EXPECT_EQ(replicator.in_force()->drains[0].name, "west");
}

}  // namespace
}  // namespace deckhall
