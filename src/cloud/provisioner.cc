#include "cloud/provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr size_t kMaxScaleInBatch = 100;
constexpr int kMaxScaleOutBatch = 50;

std::string EncodeTypes(const std::vector<MachineType>& types) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(5);
  w.StartObject();
  w.Key("T");
  w.StartArray();
  for (const auto& t : types) {
    w.StartObject();
    PutString(w, "n", t.name);
    auto number = [&w](const char* name, double v) {
      w.Key(name);
      w.Double(v);
    };
    number("c", t.cores);
    number("g", t.gpus);
    number("m", t.memory_gb);
    number("ca", t.cache_gb);
    number("f", t.fetch_gb_per_s);
    number("p", t.price);
    number("sp", t.spot_price);
    number("b", t.boot_s);
    w.Key("z");
    w.StartArray();
    for (const auto& z : t.zones) w.String(z);
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::vector<MachineType> DecodeTypesRecord(const JsonValue& rows) {
  std::vector<MachineType> types;
  if (!rows.IsArray()) return types;
  for (const auto& row : rows.GetArray()) {
    MachineType t;
    if (!JsonString(row, "n", &t.name)) continue;
    JsonNumber(row, "c", &t.cores);
    JsonNumber(row, "g", &t.gpus);
    JsonNumber(row, "m", &t.memory_gb);
    JsonNumber(row, "ca", &t.cache_gb);
    JsonNumber(row, "f", &t.fetch_gb_per_s);
    JsonNumber(row, "p", &t.price);
    JsonNumber(row, "sp", &t.spot_price);
    JsonNumber(row, "b", &t.boot_s);
    const JsonValue* zones = JsonMember(row, "z");
    if (zones != nullptr && zones->IsArray()) {
      for (const auto& z : zones->GetArray()) {
        if (z.IsString()) t.zones.emplace_back(z.GetString());
      }
    }
    types.push_back(std::move(t));
  }
  return types;
}

// Room for what may still come.
size_t MachineReserve(const Machine& m, const std::string& text) {
  return text.size() + (m.endpoint.empty() ? 24 : 0) + (m.unrenewed_since_wall < 0 ? 20 : 0);
}

}  // namespace

Provisioner::Provisioner(CloudProvider* cloud, RecordStore* record_store, Fleet* fleet,
                         JobStore* job_store, const Clock* clock, uint64_t term,
                         ProvisionerOptions options)
    : cloud_(cloud),
      record_store_(record_store),
      fleet_(fleet),
      job_store_(job_store),
      clock_(clock),
      term_(term),
      options_(options) {}

bool Provisioner::LoadRecord(RecordId row, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  std::string name;
  if (const JsonValue* rows = JsonMember(doc, "T")) {
    types_record_ = row;
    SetTypes(DecodeTypesRecord(*rows));
    return true;
  }
  if (JsonString(doc, "m", &name)) {
    const MachineIndex mi = fleet_->Add(name);
    Machine& m = (*fleet_)[mi];
    m.record_id = row;
    std::string word;
    JsonString(doc, "e", &m.endpoint);
    if (JsonString(doc, "c", &word)) m.type = job_store_->types.Add(word);
    if (JsonString(doc, "z", &word)) m.zone = job_store_->zones.Add(word);
    JsonBool(doc, "sp", &m.spot);
    JsonNumber(doc, "w", &m.provisioned_at_wall);
    JsonNumber(doc, "u", &m.unrenewed_since_wall);
    // Its address was durable before its first launch: without one it is empty.
    m.may_run_former_attempts = !m.endpoint.empty();
    m.registered = true;
    record_store_->Reserve(row, MachineReserve(m, text));
    return true;
  }
  if (JsonString(doc, "r", &name)) {
    auto intent = std::make_unique<ScaleOutRequest>();
    intent->request_id = name;
    intent->record_id = row;
    intent->from_earlier_term = true;
    JsonString(doc, "c", &intent->type);
    JsonString(doc, "z", &intent->zone);
    JsonBool(doc, "sp", &intent->spot);
    uint64_t count = 0;
    JsonU64(doc, "n", &count);
    intent->count = static_cast<int>(std::min<uint64_t>(count, kMaxScaleOutBatch));
    requests_.push_back(std::move(intent));
    return true;
  }
  return false;
}

void Provisioner::Start() { started_at_ = next_list_at_ = next_types_at_ = clock_->Now(); }

void Provisioner::SetTypes(std::vector<MachineType> types) {
  types_ = std::move(types);
  type_of_.clear();
  for (const auto& t : types_) {
    const uint32_t at = job_store_->types.Add(t.name);
    if (at >= type_of_.size()) type_of_.resize(at + 1, nullptr);
    type_of_[at] = &t;
  }
  fleet_->InvalidateAllCapacity();
  std::vector<MachinePool> pools;
  for (const auto& t : types_) {
    for (const auto& z : t.zones) {
      for (const bool spot : {false, true}) {
        MachinePool pool;
        pool.type = job_store_->types.Add(t.name);
        pool.zone = job_store_->zones.Add(z);
        pool.spot = spot;
        for (const MachinePool& old : pools_) {
          if (old.type == pool.type && old.zone == pool.zone && old.spot == spot) pool = old;
        }
        pools.push_back(pool);
      }
    }
  }
  pools_ = std::move(pools);
}

const MachineType* Provisioner::TypeOf(uint32_t type) const {
  return type < type_of_.size() ? type_of_[type] : nullptr;
}

MachinePool* Provisioner::FindPool(const std::string& type, const std::string& zone, bool spot) {
  const uint32_t t = job_store_->types.Find(type);
  const uint32_t z = job_store_->zones.Find(zone);
  for (MachinePool& p : pools_) {
    if (p.type == t && p.zone == z && p.spot == spot) return &p;
  }
  return nullptr;
}

int Provisioner::PendingMachines(uint32_t pool) const {
  const MachinePool& p = pools_[pool];
  int sum = 0;
  for (const auto& i : requests_) {
    if (i->spot == p.spot && i->type == job_store_->types[p.type] &&
        i->zone == job_store_->zones[p.zone]) {
      sum += i->count;
    }
  }
  return sum;
}

std::string Provisioner::EncodeRequest(const ScaleOutRequest& intent) const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "r", intent.request_id);
  PutString(w, "c", intent.type);
  PutString(w, "z", intent.zone);
  w.Key("sp");
  w.Bool(intent.spot);
  w.Key("n");
  w.Int(intent.count);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

void Provisioner::ScaleOut(uint32_t pool, int count, const std::string& why) {
  if (count > kMaxScaleOutBatch) {
    ScaleOut(pool, count - kMaxScaleOutBatch, why);
    count = kMaxScaleOutBatch;
  }
  const MachinePool& p = pools_[pool];
  auto intent = std::make_unique<ScaleOutRequest>();
  // The term in the name: no other leader can ever use it again.
  intent->request_id = "r-" + std::to_string(term_) + "-" + std::to_string(next_request_number_++);
  intent->type = job_store_->types[p.type];
  intent->zone = job_store_->zones[p.zone];
  intent->spot = p.spot;
  intent->count = count;
  spdlog::info("renting {} {}{} in {} ({}): {}", intent->count, intent->type,
               p.spot ? " (spot)" : "", intent->zone, intent->request_id, why);
  const std::string text = EncodeRequest(*intent);
  intent->record_id = record_store_->Add(text, text.size(), WritePriority::kImmediate);
  requests_.push_back(std::move(intent));
}

void Provisioner::SendScaleOut(ScaleOutRequest* intent) {
  intent->in_flight = true;
  cloud_->ScaleOut(intent->request_id, intent->type, intent->zone, intent->spot, intent->count,
                   [this, request = intent->request_id](const ScaleOutResponse& a) {
                     HandleScaleOutResponse(request, a);
                   });
}

void Provisioner::HandleScaleOutResponse(const std::string& request,
                                         const ScaleOutResponse& answer) {
  auto it = std::find_if(requests_.begin(), requests_.end(),
                         [&request](const auto& i) { return i->request_id == request; });
  if (it == requests_.end()) return;
  ScaleOutRequest& intent = **it;
  const double now = clock_->Now();
  intent.in_flight = false;
  if (!answer.ok && !answer.out_of_capacity && !answer.malformed) {
    // Carried out or not: the same name asks again, and rents nothing twice.
    intent.retry_after = now + 1.0;
    return;
  }
  const auto got = static_cast<int>(answer.machines.size());
  if (MachinePool* pool = FindPool(intent.type, intent.zone, intent.spot)) {
    if (got < intent.count) {
      pool->backoff_s =
          std::clamp(pool->backoff_s * 2, options_.min_backoff_s, options_.max_backoff_s);
      pool->backoff_until = now + pool->backoff_s;
      spdlog::info("{} {}{}: {} of {} to be had, not asked again for {} s", intent.zone,
                   intent.type, intent.spot ? " (spot)" : "", got, intent.count, pool->backoff_s);
    } else {
      pool->backoff_s = 0;
    }
  }
  for (const std::string& name : answer.machines) {
    MachineIndex mi = fleet_->Find(name);
    if (mi == kNoIndex) mi = fleet_->Add(name);
    Machine& m = (*fleet_)[mi];
    if (m.type == kNoIndex) {
      m.type = job_store_->types.Add(intent.type);
      m.zone = job_store_->zones.Add(intent.zone);
      m.spot = intent.spot;
      m.provisioned_at_wall = clock_->Wall();
    }
    if (!m.may_run_former_attempts && !m.up) m.reconciled = true;
    m.registered = true;
    m.capacity_stale = true;
    SaveMachine(mi, WritePriority::kImmediate);
  }
  record_store_->Remove(intent.record_id);
  requests_.erase(it);
  fleet_->placement_needed = true;
}

void Provisioner::SaveMachine(MachineIndex mi, WritePriority urgency) {
  Machine& m = (*fleet_)[mi];
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(2);
  w.StartObject();
  PutString(w, "m", m.name);
  PutString(w, "e", m.endpoint);
  if (m.type != kNoIndex) PutString(w, "c", job_store_->types[m.type]);
  if (m.zone != kNoIndex) PutString(w, "z", job_store_->zones[m.zone]);
  w.Key("sp");
  w.Bool(m.spot);
  w.Key("w");
  w.Double(m.provisioned_at_wall);
  if (m.unrenewed_since_wall >= 0) {
    w.Key("u");
    w.Double(m.unrenewed_since_wall);
  }
  w.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  const size_t reserve = MachineReserve(m, text);
  if (m.record_id == kNoRecord) {
    m.record_id = record_store_->Add(std::move(text), reserve, urgency);
  } else {
    record_store_->Update(m.record_id, std::move(text), reserve, urgency);
  }
}

MachineIndex Provisioner::AddUnexpectedMachine(const Heartbeat& r) {
  const MachineIndex mi = fleet_->Add(r.machine);
  Machine& m = (*fleet_)[mi];
  m.type = job_store_->types.Add(r.type);
  m.zone = job_store_->zones.Add(r.zone);
  m.spot = r.spot;
  m.endpoint = r.endpoint;
  m.provisioned_at_wall = clock_->Wall();
  spdlog::info("machine {} ({} in {}{}) reports and was not expected", r.machine, r.type, r.zone,
               r.spot ? ", spot" : "");
  return mi;
}

void Provisioner::ScaleIn(MachineIndex mi, const char* why) {
  Machine& m = (*fleet_)[mi];
  if (m.scaling_in || m.removed) return;
  m.scaling_in = m.unschedulable = true;
  next_scale_in_at_ = std::min(next_scale_in_at_, clock_->Now());
  spdlog::info("returning machine {}: {}", m.name, why);
}

void Provisioner::SendScaleIn() {
  std::vector<std::string> names;
  std::vector<MachineIndex> which;
  for (MachineIndex i : fleet_->active()) {
    const Machine& m = (*fleet_)[i];
    if (names.size() >= kMaxScaleInBatch) break;
    if (!m.scaling_in) continue;
    names.push_back(m.name);
    which.push_back(i);
  }
  if (names.empty()) return;
  scale_in_in_flight_ = true;
  cloud_->ScaleIn(names, [this, which](bool ok) {
    scale_in_in_flight_ = false;
    // More are waiting: what may run on them is held up until they are gone.
    next_scale_in_at_ = clock_->Now() + (ok && which.size() == kMaxScaleInBatch ? 0.05 : 0.5);
    if (!ok) return;
    for (MachineIndex i : which) {
      Machine& m = (*fleet_)[i];
      fleet_->RemoveMachine(i, "returned");
      if (m.record_id != kNoRecord) record_store_->Remove(m.record_id);
      m.record_id = kNoRecord;
    }
  });
}

void Provisioner::RefreshTypes() {
  types_in_flight_ = true;
  cloud_->ListTypes([this](bool ok, std::vector<MachineType> types) {
    types_in_flight_ = false;
    next_types_at_ = clock_->Now() + (ok ? options_.types_interval_s : 1.0);
    if (!ok) return;
    const bool first = types_.empty();
    SetTypes(std::move(types));
    std::string text = EncodeTypes(types_);
    const size_t reserve = text.size() + 64;
    if (types_record_ == kNoRecord) {
      types_record_ = record_store_->Add(std::move(text), reserve, WritePriority::kBackground);
    } else if (first) {
      record_store_->Update(types_record_, std::move(text), reserve, WritePriority::kBackground);
    }
    fleet_->placement_needed = true;
  });
}

void Provisioner::RefreshInstances(const std::string& after) {
  list_in_flight_ = true;
  cloud_->ListInstances(after,
                        [this](bool ok, const std::vector<CloudInstance>& rows, bool truncated) {
                          list_in_flight_ = false;
                          next_list_at_ = clock_->Now() + options_.list_interval_s;
                          if (!ok) {
                            next_list_at_ = clock_->Now() + 1.0;
                            return;
                          }
                          ApplyInstanceList(rows);
                          if (truncated && !rows.empty()) RefreshInstances(rows.back().name);
                        });
}

void Provisioner::ApplyInstanceList(const std::vector<CloudInstance>& rows) {
  for (const CloudInstance& row : rows) {
    MachineIndex mi = fleet_->Find(row.name);
    if (mi == kNoIndex) {
      if (row.state == InstanceState::kFailed) {
        mi = fleet_->Add(row.name);
        (*fleet_)[mi].reconciled = true;
        ScaleIn(mi, "failed, and not known here");
        continue;
      }
      // A rental whose answer is still on its way names it soon; but on a large
      // fleet there is always one.
      if (HasPendingRequests() && row.age_s < options_.list_lag_s * 3) continue;
      // The list may be older than this term: a machine that the former leader
      // returned is still on it. One that is there reports anyway.
      if (clock_->Now() - started_at_ < options_.list_lag_s * 2 + 1) continue;
      mi = fleet_->Add(row.name);
      Machine& m = (*fleet_)[mi];
      m.type = job_store_->types.Add(row.type);
      m.zone = job_store_->zones.Add(row.zone);
      m.spot = row.spot;
      m.provisioned_at_wall = clock_->Wall() - row.age_s;
      m.endpoint = "";
      m.registered = true;
      SaveMachine(mi, WritePriority::kBackground);
      spdlog::info("machine {} ({} in {}) is listed and was not expected: used", row.name, row.type,
                   row.zone);
      continue;
    }
    Machine& m = (*fleet_)[mi];
    if (m.removed || m.scaling_in) continue;
    m.registered = true;
    if (row.state == InstanceState::kFailed) {
      fleet_->ReleaseAttempts(mi, "the machine failed");
      fleet_->MarkReconciled(mi);
      ScaleIn(mi, "failed");
    }
  }
}

void Provisioner::Tick(bool trusted) {
  const double now = clock_->Now();
  if (!trusted) return;
  for (auto& intent : requests_) {
    // Durable before the cloud hears of it, or its machines could be forgotten.
    if (!intent->in_flight && now >= intent->retry_after &&
        record_store_->IsDurable(intent->record_id)) {
      SendScaleOut(intent.get());
    }
  }
  if (!scale_in_in_flight_ && now >= next_scale_in_at_) SendScaleIn();
  if (!types_in_flight_ && now >= next_types_at_) RefreshTypes();
  if (!list_in_flight_ && now >= next_list_at_) RefreshInstances("");
}

}  // namespace deckhall
