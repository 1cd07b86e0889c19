// Golden encodings of stored records. Guards rolling updates and rollbacks against incompatible
// records: this version must load all records of the production version and write them back as the
// same bytes. Records that production does not have are compared with literal text.
//
// data/production_rows.json was recorded with the leader of the production version: every key that
// it wrote, with the text of its records in order.
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
constexpr double kAfterRecordingSeconds = 1300;  // on the fake clock
constexpr size_t kSinglePageBytes = 1 << 20;     // holds all records on one page
constexpr size_t kRecordReserveBytes = 4 << 10;
constexpr uint64_t kLargeNumber = 9007199254740993;  // not exactly representable as a double
constexpr const char* kLeaderKey = "leader";         // used by the fakes
constexpr const char* kFirstPage = "deckhall/pages/000000";
constexpr const char* kUnwrittenRecord = "null";  // placeholder until the record is written

using Records = std::vector<std::string>;

std::map<std::string, Records> RecordedValues() {
  std::ifstream in(DECKHALL_SOURCES "/tests/data/production_rows.json");
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  rapidjson::Document document;
  std::map<std::string, Records> values_by_key;
  if (!ParseJson(text, &document) || !document.IsObject()) return values_by_key;
  for (rapidjson::SizeType i = 0; i < document.MemberCount(); ++i) {
    const JsonValue::Member& member = document.MemberBegin()[i];
    Records& records = values_by_key[member.name.GetString()];
    for (const JsonValue& record : member.value.GetArray()) {
      records.emplace_back(record.GetString(), record.GetStringLength());
    }
  }
  return values_by_key;
}

// The records of all pages, in the order in which a leader loads them.
Records RecordedRecords() {
  Records all_records;
  for (const auto& [key, records] : RecordedValues()) {
    if (key.starts_with(RecordStore::kPrefix))
      all_records.insert(all_records.end(), records.begin(), records.end());
  }
  return all_records;
}

bool IsMachineTypes(const std::string& record) { return record.starts_with("{\"T\":"); }
bool IsMachine(const std::string& record) { return record.starts_with("{\"m\":"); }
bool IsScaleOutRequest(const std::string& record) { return record.starts_with("{\"r\":"); }
bool IsCacheHint(const std::string& record) {
  return record.starts_with("{\"in\":") || record.starts_with("{\"ic\":");
}
bool IsJob(const std::string& record) {
  return !IsMachineTypes(record) && !IsMachine(record) && !IsScaleOutRequest(record) &&
         !IsCacheHint(record);
}

Records RecordsMatching(bool (*matches)(const std::string&)) {
  Records records;
  for (const std::string& record : RecordedRecords()) {
    if (matches(record)) records.push_back(record);
  }
  return records;
}

// The value of a page that holds these records.
std::string PageOf(const Records& records) {
  std::string page = "[";
  for (const std::string& record : records) {
    if (page.size() > 1) page += ',';
    page += record;
  }
  return page + "]";
}

// A leader of this version with the recorded pages; no machine is reachable.
struct SuccessorWorld : LeaderTestEnvironment {
  SuccessorWorld() {
    for (const auto& [key, records] : RecordedValues()) {
      if (key.starts_with(RecordStore::kPrefix))
        state.keys[key] = {PageOf(records), state.revision, 0};
    }
    for (const char* endpoint : {"m-1:1", "m-2:1", "m-3:1"})
      workers.by_endpoint[endpoint].unresponsive = true;
    cloud.unavailable = true;
    clock.now = kAfterRecordingSeconds;
    StartLeader();
  }
  const Job& FindJob(const std::string& id) {
    const JobIndex index = leader->job_store().Find(id);
    EXPECT_NE(index, kNoIndex) << id;
    return leader->job_store()[index];
  }
  const deckhall::Machine& FindMachine(const std::string& name) {
    const MachineIndex index = leader->fleet().Find(name);
    EXPECT_NE(index, kNoIndex) << name;
    return leader->fleet()[index];
  }
  Records CachedImages(const std::string& name) {
    Records images;
    for (const uint32_t image : FindMachine(name).cached_images) {
      images.push_back(leader->job_store().images[image]);
    }
    return images;
  }
};

std::vector<uint32_t> CompletedTasks(const Job& job) {
  std::vector<uint32_t> finished;
  for (uint32_t task = 0; task < job.tasks.size(); ++task) {
    if (job.tasks[task].phase == TaskPhase::kDone) finished.push_back(task);
  }
  return finished;
}

// The jobs that were submitted to production, with the fields that their records keep.

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
  spec.estimated_runtime_s = 1234.567;  // submitted with one more decimal; records keep three
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

TEST(GoldenRows, RecordingContainsAllRecordKinds) {
  EXPECT_EQ(RecordsMatching(IsMachineTypes).size(), 1U);
  EXPECT_EQ(RecordsMatching(IsMachine).size(), 4U);
  EXPECT_EQ(RecordsMatching(IsScaleOutRequest).size(), 1U);
  EXPECT_EQ(RecordsMatching(IsCacheHint).size(), 2U);
  EXPECT_EQ(RecordsMatching(IsJob).size(), 12U);
}

TEST(GoldenRows, KeyNamesMatchProduction) {
  EXPECT_EQ(RecordStore::kPrefix, "deckhall/pages/");
  EXPECT_STREQ(Election::kKey, "deckhall/leader");
  EXPECT_STREQ(PolicyReplicator::kKey, "deckhall/disruption");
  EXPECT_TRUE(RecordedValues().contains(Election::kKey));
  EXPECT_TRUE(RecordedValues().contains(kFirstPage));
}

TEST(GoldenRows, SuccessorLoadsAllActiveJobs) {
  SuccessorWorld world;
  EXPECT_EQ(world.leader->job_store().active_jobs().size(), 7U);
  for (const JobSpec& spec : {ZoneService(), ArrayWithImage(), LargeArray(), ServiceApart(), Gang(),
                              IdleOnSpot(), ProductionArray()}) {
    SCOPED_TRACE(spec.id);
    const Job& job = world.FindJob(spec.id);
    EXPECT_EQ(job.lifecycle, JobLifecycle::kActive);
    EXPECT_TRUE(job.has_spec);
    EXPECT_TRUE(job.acknowledged);
    ExpectSameJob(job.spec, spec);
  }
}

TEST(GoldenRows, SuccessorLoadsCompletedTasks) {
  SuccessorWorld world;
  EXPECT_EQ(CompletedTasks(world.FindJob("job-10")), (std::vector<uint32_t>{0, 3, 9}));
  EXPECT_EQ(CompletedTasks(world.FindJob("job-11")),
            (std::vector<uint32_t>{0, 5, 4095, 4096, 4500, 4999}));
  EXPECT_EQ(CompletedTasks(world.FindJob("job-16")), (std::vector<uint32_t>{0, 1}));
  for (const char* id : {"job-3", "job-12", "job-13", "job-14", "job-15", "job-17"}) {
    EXPECT_TRUE(CompletedTasks(world.FindJob(id)).empty()) << id;
  }
  const JobResponse response = world.SendRequest(JobOperation::kGet, "job-11");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.state, JobState::kPending);
  EXPECT_EQ(response.tasks_done, 6U);
}

TEST(GoldenRows, SuccessorLoadsSubmissionTimesAndRemainingWork) {
  SuccessorWorld world;
  EXPECT_EQ(world.FindJob("job-10").submitted_wall, 500001206.2);
  EXPECT_EQ(world.FindJob("job-11").submitted_wall, 500001209.2);
  EXPECT_EQ(world.FindJob("job-11").stored_remaining_core_seconds, 102039.088);
  EXPECT_EQ(world.FindJob("job-13").stored_remaining_core_seconds, 53797.48);
  EXPECT_EQ(world.FindJob("job-16").stored_remaining_core_seconds, 17.438);
}

TEST(GoldenRows, SuccessorLoadsFinishedJobs) {
  SuccessorWorld world;
  EXPECT_EQ(world.FindJob("job-1").lifecycle, JobLifecycle::kDone);
  EXPECT_EQ(world.FindJob("job-2").lifecycle, JobLifecycle::kCancelled);
  EXPECT_FALSE(world.FindJob("job-1").has_spec);
  EXPECT_FALSE(world.FindJob("job-2").has_spec);
  EXPECT_EQ(world.FindJob("job-16").lifecycle, JobLifecycle::kDone);
  EXPECT_EQ(world.FindJob("job-17").lifecycle, JobLifecycle::kCancelled);
  ExpectSameJob(world.FindJob("job-16").spec, ArraySpec("job-16", 2, 0.5));
  ExpectSameJob(world.FindJob("job-17").spec, ServiceSpec("job-17", 2, 0.5));
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-1").state, JobState::kDone);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-2").state, JobState::kCancelled);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-16").state, JobState::kDone);
  EXPECT_EQ(world.SendRequest(JobOperation::kGet, "job-17").state, JobState::kCancelled);
}

struct ExpectedMachine {
  std::string name;
  std::string endpoint;
  std::string zone;
  bool spot = false;
  double provisioned_wall = 0;
  double unrenewed_since = -1;
};

TEST(GoldenRows, SuccessorLoadsAllMachines) {
  SuccessorWorld world;
  const std::vector<ExpectedMachine> machines = {
      {"m-1", "m-1:1", "east", false, 500001000.2, -1},
      {"m-2", "m-2:1", "west", true, 500001000.2, -1},
      {"m-3", "m-3:1", "west", false, 500001206.2, 500001238.95},
      {"m-90", "", "east", false, 500001237.2, -1}};
  EXPECT_EQ(world.leader->fleet().size(), machines.size());
  for (const ExpectedMachine& expected : machines) {
    SCOPED_TRACE(expected.name);
    const Machine& machine = world.FindMachine(expected.name);
    EXPECT_EQ(machine.endpoint, expected.endpoint);
    EXPECT_EQ(world.leader->job_store().types[machine.type], "box");
    EXPECT_EQ(world.leader->job_store().zones[machine.zone], expected.zone);
    EXPECT_EQ(machine.spot, expected.spot);
    EXPECT_EQ(machine.provisioned_at_wall, expected.provisioned_wall);
    EXPECT_EQ(machine.unrenewed_since_wall, expected.unrenewed_since);
    EXPECT_EQ(machine.may_run_former_attempts, !expected.endpoint.empty());
  }
}

TEST(GoldenRows, SuccessorLoadsCachedImages) {
  SuccessorWorld world;
  EXPECT_EQ(world.CachedImages("m-1"), (Records{"registry/sums:1", "img"}));
  EXPECT_TRUE(world.CachedImages("m-2").empty());
  EXPECT_EQ(world.CachedImages("m-3"), (Records{"registry/live:\"2\""}));
}

TEST(GoldenRows, SuccessorRepeatsUnansweredScaleOutRequest) {
  SuccessorWorld world;
  const std::pair<std::string, int> rental("r-102-10", 2);
  EXPECT_EQ(std::count(world.cloud.scale_out_requests.begin(), world.cloud.scale_out_requests.end(),
                       rental),
            1);
}

// The components that write records, with an empty store. Records are passed to them as if they
// were loaded; the text that the components then write replaces the placeholder of each record.
struct RecordComponents {
  FakeClock clock;
  FakeState state;
  FakeCloud cloud;
  RecordStore store;
  JobStore job_store;
  Fleet fleet;
  Provisioner provisioner;
  CacheHints cache_hints;

  RecordComponents()
      : store(&state, &clock, SinglePageLimits(), kLeaderKey, kRecordedTerm),
        job_store(&store),
        fleet(&job_store, &clock, kRecordedTerm, FleetOptions()),
        provisioner(&cloud, &store, &fleet, &job_store, &clock, kRecordedTerm,
                    ProvisionerOptions()),
        cache_hints(&store, &job_store, &fleet, kRecordReserveBytes) {
    state.revision = kRecordedTerm;
    state.keys[kLeaderKey] = {"{}", kRecordedTerm, 0};
    clock.now = kAfterRecordingSeconds;
  }
  static RecordStoreLimits SinglePageLimits() {
    RecordStoreLimits limits;
    limits.max_value_bytes = limits.fill_bytes = limits.current_max_value_bytes = kSinglePageBytes;
    return limits;
  }
  void Load(const Records& records) {
    for (const std::string& record : records) {
      const RecordId record_id =
          store.Add(kUnwrittenRecord, kRecordReserveBytes, WritePriority::kBackground);
      const bool loaded = provisioner.LoadRecord(record_id, record) ||
                          cache_hints.LoadRecord(record_id, record) ||
                          job_store.LoadRecord(record_id, record);
      EXPECT_TRUE(loaded) << record;
    }
    job_store.FinishLoad(clock.Now(), clock.Wall());
    cache_hints.FinishLoad();
  }
  // The value of the page after all records are written.
  std::string WrittenPage() {
    for (int i = 0; i < 10; ++i) {
      clock.now += 1;
      store.Flush();
      state.Run();
    }
    EXPECT_EQ(state.keys.size(), 2U);
    return state.keys[kFirstPage].value;
  }
  void SaveJob(const std::string& id) {
    const JobIndex index = job_store.Find(id);
    Job& job = job_store[index];
    job.remaining_core_seconds = job.stored_remaining_core_seconds;  // as after a failover
    job_store.Save(index, WritePriority::kImmediate);
  }
  // Writes the record that lists the task as completed.
  void SaveCompletedTask(const std::string& id, uint32_t task) {
    const JobIndex index = job_store.Find(id);
    Job& job = job_store[index];
    ASSERT_EQ(job.tasks[task].phase, TaskPhase::kDone);
    job.tasks[task].phase = TaskPhase::kUnreconciled;
    --job.tasks_done;
    ++job.tasks_unreconciled;
    job_store.MarkTaskDone(index, task);
  }
};

TEST(GoldenRows, JobRecordsMatchProduction) {
  const Records records = RecordsMatching(IsJob);
  RecordComponents components;
  components.Load(records);
  for (const char* id : {"job-1", "job-2", "job-3", "job-10", "job-11", "job-12", "job-13",
                         "job-14", "job-15", "job-16", "job-17"}) {
    components.SaveJob(id);
  }
  components.SaveCompletedTask("job-11", 4500);
  EXPECT_EQ(components.WrittenPage(), PageOf(records));
}

TEST(GoldenRows, MachineRecordsMatchProduction) {
  const Records records = RecordsMatching(IsMachine);
  RecordComponents components;
  components.Load(records);
  for (MachineIndex machine = 0; machine < components.fleet.size(); ++machine) {
    components.provisioner.SaveMachine(machine, WritePriority::kImmediate);
  }
  EXPECT_EQ(components.WrittenPage(), PageOf(records));
}

TEST(GoldenRows, MachineTypesAreLoadedIntoAllFieldsAndMatchProduction) {
  const Records records = RecordsMatching(IsMachineTypes);
  RecordComponents reader;
  reader.Load(records);
  const std::vector<MachineType>& types = reader.provisioner.types();
  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[0].name, "box");
  EXPECT_EQ(types[0].zones, (Records{"east", "west"}));
  EXPECT_EQ(types[1].name, "big");
  EXPECT_EQ(types[1].cores, 64);
  EXPECT_EQ(types[1].gpus, 4);
  EXPECT_EQ(types[1].memory_gb, 512);
  EXPECT_EQ(types[1].cache_gb, 200.5);
  EXPECT_EQ(types[1].fetch_gb_per_s, 0.125);
  EXPECT_EQ(types[1].price, 9.87654);
  EXPECT_EQ(types[1].spot_price, 3.21);
  EXPECT_EQ(types[1].boot_s, 45.5);
  EXPECT_EQ(types[1].zones, (Records{"west"}));
  RecordComponents writer;
  writer.cloud.types = types;
  writer.provisioner.Start();
  writer.provisioner.Tick(true);
  writer.cloud.Run();
  EXPECT_EQ(writer.WrittenPage(), PageOf(records));
}

TEST(GoldenRows, ScaleOutRequestRecordsMatchProduction) {
  const Records records = RecordsMatching(IsScaleOutRequest);
  RecordComponents components;
  components.Load(RecordsMatching(IsMachineTypes));
  uint32_t pool = 0;
  while (!components.provisioner.pools()[pool].spot) ++pool;
  // The recorded request is the tenth of its term.
  for (int i = 0; i < 10; ++i) components.provisioner.ScaleOut(pool, 2, "golden");
  const std::string page = components.WrittenPage();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_TRUE(page.ends_with("," + records.front() + "]")) << page;
}

TEST(GoldenRows, CacheHintRecordsMatchProduction) {
  const Records records = RecordsMatching(IsCacheHint);
  RecordComponents components;
  components.Load(RecordedRecords());
  components.cache_hints.Save();  // adds new records at the end of the page
  const std::string page = components.WrittenPage();
  ASSERT_EQ(records.size(), 2U);
  EXPECT_TRUE(page.ends_with("," + records[0] + "," + records[1] + "]")) << page;
}

TEST(GoldenRows, LeaderKeyValueMatchesProduction) {
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
  EXPECT_EQ(state.keys[Election::kKey].value, RecordedValues()[Election::kKey].front());
  EXPECT_EQ(state.keys[Election::kKey].value,
            R"({"label":"n0","instance":9007199254740993,"lease":1})");
}

TEST(GoldenRows, OtherNodeDecodesLeaderFromProductionKey) {
  FakeClock clock;
  FakeState state;
  state.keys[Election::kKey] = {RecordedValues()[Election::kKey].front(), kRecordedTerm, 1};
  ElectionOptions options;
  options.label = "n1";
  options.instance = 7;
  Election election(&state, &clock, options);
  election.Tick();
  state.Run();
  EXPECT_EQ(election.leader_label(), "n0");
  EXPECT_EQ(election.leader_term(), kRecordedTerm);
}

// Decoding the key uses all its fields: the lease of the former process of the same node is
// revoked.
TEST(GoldenRows, LaterProcessOfSameNodeRevokesLeaseInProductionKey) {
  FakeClock clock;
  FakeState state;
  state.leases[1] = true;
  state.keys[Election::kKey] = {RecordedValues()[Election::kKey].front(), kRecordedTerm, 1};
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

TEST(GoldenRows, DrainProgressEncodingIsStable) {
  EXPECT_EQ(EncodeProgress(FullProgress()), kFullProgress);
  EXPECT_EQ(EncodeProgress(DrainProgress()), kMinimalProgress);
  EXPECT_EQ(DecodeProgress(kFullProgress), FullProgress());
  EXPECT_EQ(DecodeProgress(kMinimalProgress), DrainProgress());
}

TEST(GoldenRows, DrainStateNamesAreStable) {
  const std::vector<std::pair<DrainState, std::string>> encodings = {
      {DrainState::kActive, "active"},
      {DrainState::kPaused, "paused"},
      {DrainState::kDone, "done"}};
  for (const auto& [state, encoding] : encodings) {
    EXPECT_EQ(DrainStateName(state), encoding);
    const auto decoded = DecodeProgress(R"({"drain":"west","state":")" + encoding + R"("})");
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->state, state) << encoding;
  }
}

TEST(GoldenRows, EvictionRecordEncodingIsStable) {
  EvictionRecord eviction;
  eviction.drain = "west";
  eviction.job = "job-12";
  eviction.task = 3;
  eviction.machine = "m-1";
  eviction.attempt = kLargeNumber;
  eviction.since_wall = 500001000.25;
  const std::string encoded = R"({"drain_step":"west","job":"job-12","task":3,"machine":"m-1",)"
                              R"("attempt":9007199254740993,"since":500001000.25})";
  EXPECT_EQ(EncodeEviction(eviction), encoded);
  const auto decoded = DecodeEviction(encoded);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->drain, eviction.drain);
  EXPECT_EQ(decoded->job, eviction.job);
  EXPECT_EQ(decoded->task, eviction.task);
  EXPECT_EQ(decoded->machine, eviction.machine);
  EXPECT_EQ(decoded->attempt, eviction.attempt);
  EXPECT_EQ(decoded->since_wall, eviction.since_wall);
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

TEST(GoldenRows, DisruptionPolicyEncodingIsStable) {
  EXPECT_EQ(EncodePolicy(*PolicyOf(kPolicyText)), kStoredPolicy);
  EXPECT_EQ(EncodePolicy(DisruptionPolicy()), R"({"revision":0,"text":""})");
  LeaderTestEnvironment world;
  PolicyReplicator replicator(&world.state, &world.clock, &world.settings);
  replicator.SetLocalPolicy(PolicyOf(kPolicyText));
  replicator.Tick();
  world.state.Run();
  EXPECT_EQ(world.state.keys["deckhall/disruption"].value, kStoredPolicy);
}

TEST(GoldenRows, StoredDisruptionPolicyOfHigherRevisionIsAdopted) {
  LeaderTestEnvironment world;
  world.state.keys["deckhall/disruption"] = {kStoredPolicy, world.state.revision, 0};
  PolicyReplicator replicator(&world.state, &world.clock, &world.settings);
  replicator.SetLocalPolicy(PolicyOf(R"((disruption (revision "1")))"));
  replicator.Tick();
  world.state.Run();
  ASSERT_NE(replicator.in_force(), nullptr);
  EXPECT_EQ(replicator.in_force()->revision, 7U);
  EXPECT_EQ(replicator.in_force()->text, kPolicyText);
  ASSERT_EQ(replicator.in_force()->drains.size(), 1U);
  EXPECT_EQ(replicator.in_force()->drains[0].name, "west");
}

}  // namespace
}  // namespace deckhall
