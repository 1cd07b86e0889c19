#include "wire/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "mesh.capnp.h"

namespace deckhall {
namespace {

std::string Str(capnp::Text::Reader t) { return {t.cStr(), t.size()}; }
capnp::Text::Reader Txt(const std::string& s) { return {s.c_str(), s.size()}; }

void Put(const JobSpec& j, mesh::Job::Builder b) {
  b.setId(Txt(j.id));
  b.setJobClass(Txt(j.job_class));
  b.setTeam(Txt(j.team));
  b.setService(j.service);
  b.setGang(j.gang);
  b.setPriority(static_cast<uint8_t>(j.priority));
  b.setTasks(j.task_count);
  b.setCores(j.cores);
  b.setGpus(j.gpus);
  b.setMemoryGb(j.memory_gb);
  b.setImage(Txt(j.image));
  b.setImageGb(j.image_gb);
  b.setAnyType(!j.allowed_types.has_value());
  if (j.allowed_types) {
    auto list = b.initTypes(static_cast<unsigned>(j.allowed_types->size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, Txt((*j.allowed_types)[i]));
  }
  b.setZone(Txt(j.zone));
  b.setOneZone(j.single_zone);
  b.setApart(j.anti_affinity);
  b.setSpot(j.spot_tolerant);
  b.setEstimateS(j.estimated_runtime_s);
  b.setCheckpointS(j.checkpoint_interval_s);
  b.setSaveS(j.checkpoint_grace_s);
  b.setDeadlineS(j.deadline_s.value_or(-1));
}

void Get(mesh::Job::Reader r, JobSpec* j) {
  j->id = Str(r.getId());
  j->job_class = Str(r.getJobClass());
  j->team = Str(r.getTeam());
  j->service = r.getService();
  j->gang = r.getGang();
  j->priority = static_cast<Priority>(r.getPriority() & 3);
  j->task_count = r.getTasks();
  j->cores = r.getCores();
  j->gpus = r.getGpus();
  j->memory_gb = r.getMemoryGb();
  j->image = Str(r.getImage());
  j->image_gb = r.getImageGb();
  if (!r.getAnyType()) {
    j->allowed_types.emplace();
    for (auto t : r.getTypes()) j->allowed_types->push_back(Str(t));
  }
  j->zone = Str(r.getZone());
  j->single_zone = r.getOneZone();
  j->anti_affinity = r.getApart();
  j->spot_tolerant = r.getSpot();
  j->estimated_runtime_s = r.getEstimateS();
  j->checkpoint_interval_s = r.getCheckpointS();
  j->checkpoint_grace_s = r.getSaveS();
  if (r.getDeadlineS() >= 0) j->deadline_s = r.getDeadlineS();
}

struct Writer {
  mesh::Frame::Builder f;

  void operator()(std::monostate) { f.setNone(); }
  void operator()(const PeerPing& ping) {
    auto b = f.initPing();
    b.setLabel(Txt(ping.label));
    b.setInstance(ping.instance);
    b.setLeading(ping.lease_valid);
    b.setHolding(ping.holds_leader_key);
    b.setInformed(ping.term_confirmed);
    b.setTerm(ping.term);
    b.setLeader(Txt(ping.leader));
    auto list = b.initReaches(static_cast<unsigned>(ping.reachable_peers.size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, Txt(ping.reachable_peers[i]));
  }
  void operator()(const JobRequest& a) {
    auto b = f.initUserRequest();
    b.setOp(static_cast<uint8_t>(a.operation));
    b.setId(Txt(a.job_id));
    b.setInvalid(Txt(a.validation_error));
    if (a.operation == JobOperation::kSubmit && a.validation_error.empty()) Put(a.job, b.initJob());
  }
  void operator()(const JobResponse& response) {
    auto b = f.initUserResponse();
    b.setStatus(static_cast<uint16_t>(response.status));
    b.setState(static_cast<uint8_t>(response.state));
    b.setDone(response.tasks_done);
    b.setRunning(response.tasks_running);
    b.setError(Txt(response.error));
    b.setRetryAfterS(static_cast<uint16_t>(response.retry_after_s));
  }
  void operator()(const Heartbeat& heartbeat) {
    auto b = f.initReport();
    b.setMachine(Txt(heartbeat.machine));
    b.setEndpoint(Txt(heartbeat.endpoint));
    b.setType(Txt(heartbeat.type));
    b.setZone(Txt(heartbeat.zone));
    b.setSpot(heartbeat.spot);
    b.setSession(heartbeat.agent_epoch);
    b.setSeq(heartbeat.sequence);
    b.setToken(heartbeat.fencing_token);
    b.setNoticeS(heartbeat.preemption_notice_s.value_or(-1));
    auto list = b.initTasks(static_cast<unsigned>(heartbeat.tasks.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const TaskStatus& status = heartbeat.tasks[i];
      list[i].setTask(Txt(status.task_name));
      list[i].setAttempt(status.attempt);
      list[i].setState(static_cast<uint8_t>(status.state));
      list[i].setWhy(static_cast<uint8_t>(status.exit_reason));
      list[i].setSaved(status.checkpointed);
    }
  }
  void operator()(const HeartbeatResponse& response) {
    auto b = f.initReportResponse();
    b.setStatus(static_cast<uint16_t>(response.status));
    b.setToken(response.fencing_token);
    b.setReportTo(Txt(response.redirect_to));
    auto list = b.initCommands(static_cast<unsigned>(response.commands.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const Command& command = response.commands[i];
      list[i].setOp(static_cast<uint8_t>(command.operation));
      list[i].setTask(Txt(command.task_name));
      list[i].setAttempt(command.attempt);
      list[i].setGraceS(command.grace_period_s);
    }
  }
};

void Read(mesh::Frame::Reader f, PeerFrame* out) {
  out->id = f.getId();
  out->target = Str(f.getTarget());
  out->hops = f.getHops();
  switch (f.which()) {
    case mesh::Frame::NONE:
      break;
    case mesh::Frame::PING: {
      auto r = f.getPing();
      PeerPing ping;
      ping.label = Str(r.getLabel());
      ping.instance = r.getInstance();
      ping.lease_valid = r.getLeading();
      ping.holds_leader_key = r.getHolding();
      ping.term_confirmed = r.getInformed();
      ping.term = r.getTerm();
      ping.leader = Str(r.getLeader());
      for (auto t : r.getReaches()) ping.reachable_peers.push_back(Str(t));
      out->body = std::move(ping);
      break;
    }
    case mesh::Frame::USER_REQUEST: {
      auto r = f.getUserRequest();
      JobRequest a;
      a.operation = static_cast<JobOperation>(r.getOp() > 2 ? 0 : r.getOp());
      a.job_id = Str(r.getId());
      a.validation_error = Str(r.getInvalid());
      if (r.hasJob()) Get(r.getJob(), &a.job);
      out->body = std::move(a);
      break;
    }
    case mesh::Frame::USER_RESPONSE: {
      auto r = f.getUserResponse();
      JobResponse u;
      u.status = r.getStatus();
      u.state = static_cast<JobState>(r.getState() & 3);
      u.tasks_done = r.getDone();
      u.tasks_running = r.getRunning();
      u.error = Str(r.getError());
      u.retry_after_s = r.getRetryAfterS();
      out->body = std::move(u);
      break;
    }
    case mesh::Frame::REPORT: {
      auto r = f.getReport();
      Heartbeat p;
      p.machine = Str(r.getMachine());
      p.endpoint = Str(r.getEndpoint());
      p.type = Str(r.getType());
      p.zone = Str(r.getZone());
      p.spot = r.getSpot();
      p.agent_epoch = r.getSession();
      p.sequence = r.getSeq();
      p.fencing_token = r.getToken();
      if (r.getNoticeS() >= 0) p.preemption_notice_s = r.getNoticeS();
      for (auto t : r.getTasks()) {
        TaskStatus status;
        status.task_name = Str(t.getTask());
        status.attempt = t.getAttempt();
        status.state = static_cast<TaskState>(t.getState() > 4 ? 3 : t.getState());
        status.exit_reason = static_cast<ExitReason>(t.getWhy() > 8 ? 3 : t.getWhy());
        status.checkpointed = t.getSaved();
        p.tasks.push_back(std::move(status));
      }
      out->body = std::move(p);
      break;
    }
    case mesh::Frame::REPORT_RESPONSE: {
      auto r = f.getReportResponse();
      HeartbeatResponse p;
      p.status = r.getStatus();
      p.fencing_token = r.getToken();
      p.redirect_to = Str(r.getReportTo());
      for (auto c : r.getCommands()) {
        Command row;
        row.operation = static_cast<CommandOp>(c.getOp() > 2 ? 2 : c.getOp());
        row.task_name = Str(c.getTask());
        row.attempt = c.getAttempt();
        row.grace_period_s = c.getGraceS();
        p.commands.push_back(std::move(row));
      }
      out->body = std::move(p);
      break;
    }
  }
}

}  // namespace

void EncodeFrame(const PeerFrame& frame, std::string* out) {
  capnp::MallocMessageBuilder builder;
  auto f = builder.initRoot<mesh::Frame>();
  f.setId(frame.id);
  f.setTarget(Txt(frame.target));
  f.setHops(frame.hops);
  std::visit(Writer{f}, frame.body);
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  const auto n = static_cast<uint32_t>(bytes.size());
  for (int i = 0; i < 4; ++i) out->push_back(static_cast<char>((n >> (8 * i)) & 255));
  out->append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

bool DecodeFrame(std::string_view bytes, PeerFrame* frame) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return false;
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  bool ok = true;
  auto failed = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    Read(reader.getRoot<mesh::Frame>(), frame);
  });
  KJ_IF_MAYBE (e, failed) {
    (void)e;
    ok = false;
  }
  return ok;
}

}  // namespace deckhall
