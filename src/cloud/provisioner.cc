#include "cloud/provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr size_t kMaxScaleInBatch = 100;
constexpr int kMaxScaleOutBatch = 50;

std::string EncodeTypes(const std::vector<MachineType>& types) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(5);
  writer.StartObject();
  writer.Key("T");
  writer.StartArray();
  for (const auto& type : types) {
    writer.StartObject();
    PutString(writer, "n", type.name);
    auto number = [&writer](const char* name, double v) {
      writer.Key(name);
      writer.Double(v);
    };
    number("c", type.cores);
    number("g", type.gpus);
    number("m", type.memory_gb);
    number("ca", type.cache_gb);
    number("f", type.fetch_gb_per_s);
    number("p", type.price);
    number("sp", type.spot_price);
    number("b", type.boot_s);
    writer.Key("z");
    writer.StartArray();
    for (const auto& z : type.zones) writer.String(z);
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::vector<MachineType> DecodeTypesRecord(const JsonValue& rows) {
  std::vector<MachineType> types;
  if (!rows.IsArray()) return types;
  for (const auto& row : rows.GetArray()) {
    MachineType type;
    if (!JsonString(row, "n", &type.name)) continue;
    JsonNumber(row, "c", &type.cores);
    JsonNumber(row, "g", &type.gpus);
    JsonNumber(row, "m", &type.memory_gb);
    JsonNumber(row, "ca", &type.cache_gb);
    JsonNumber(row, "f", &type.fetch_gb_per_s);
    JsonNumber(row, "p", &type.price);
    JsonNumber(row, "sp", &type.spot_price);
    JsonNumber(row, "b", &type.boot_s);
    const JsonValue* zones = JsonMember(row, "z");
    if (zones != nullptr && zones->IsArray()) {
      for (const auto& z : zones->GetArray()) {
        if (z.IsString()) type.zones.emplace_back(z.GetString());
      }
    }
    types.push_back(std::move(type));
  }
  return types;
}

// Bytes to reserve for a machine's record, so that its endpoint and the bound on its lease expiry
// can be added later.
size_t MachineReserve(const Machine& machine, const std::string& text) {
  return text.size() + (machine.endpoint.empty() ? 24 : 0) +
         (machine.unrenewed_since_wall < 0 ? 20 : 0);
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

bool Provisioner::LoadRecord(RecordId record_id, const std::string& text) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return false;
  std::string name;
  if (const JsonValue* rows = JsonMember(doc, "T")) {
    types_record_ = record_id;
    SetTypes(DecodeTypesRecord(*rows));
    return true;
  }
  if (JsonString(doc, "m", &name)) {
    const MachineIndex machine_index = fleet_->Add(name);
    Machine& machine = (*fleet_)[machine_index];
    machine.record_id = record_id;
    std::string value;
    JsonString(doc, "e", &machine.endpoint);
    if (JsonString(doc, "c", &value)) machine.type = job_store_->types.Add(value);
    if (JsonString(doc, "z", &value)) machine.zone = job_store_->zones.Add(value);
    JsonBool(doc, "sp", &machine.spot);
    JsonNumber(doc, "w", &machine.provisioned_at_wall);
    JsonNumber(doc, "u", &machine.unrenewed_since_wall);
    // The endpoint is durable before the first launch, so a machine without one has no attempts.
    machine.may_run_former_attempts = !machine.endpoint.empty();
    machine.registered = true;
    record_store_->Reserve(record_id, MachineReserve(machine, text));
    return true;
  }
  if (JsonString(doc, "r", &name)) {
    auto request = std::make_unique<ScaleOutRequest>();
    request->request_id = name;
    request->record_id = record_id;
    request->from_earlier_term = true;
    JsonString(doc, "c", &request->type);
    JsonString(doc, "z", &request->zone);
    JsonBool(doc, "sp", &request->spot);
    uint64_t count = 0;
    JsonU64(doc, "n", &count);
    request->count = static_cast<int>(std::min<uint64_t>(count, kMaxScaleOutBatch));
    requests_.push_back(std::move(request));
    return true;
  }
  return false;
}

void Provisioner::Start() { started_at_ = next_list_at_ = next_types_at_ = clock_->Now(); }

void Provisioner::SetTypes(std::vector<MachineType> types) {
  types_ = std::move(types);
  types_by_index_.clear();
  for (const auto& type : types_) {
    const uint32_t type_index = job_store_->types.Add(type.name);
    if (type_index >= types_by_index_.size()) types_by_index_.resize(type_index + 1, nullptr);
    types_by_index_[type_index] = &type;
  }
  fleet_->InvalidateAllCapacity();
  std::vector<MachinePool> pools;
  for (const auto& type : types_) {
    for (const auto& z : type.zones) {
      for (const bool spot : {false, true}) {
        MachinePool pool;
        pool.type = job_store_->types.Add(type.name);
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
  return type < types_by_index_.size() ? types_by_index_[type] : nullptr;
}

MachinePool* Provisioner::FindPool(const std::string& type, const std::string& zone, bool spot) {
  const uint32_t t = job_store_->types.Find(type);
  const uint32_t z = job_store_->zones.Find(zone);
  for (MachinePool& pool : pools_) {
    if (pool.type == t && pool.zone == z && pool.spot == spot) return &pool;
  }
  return nullptr;
}

int Provisioner::PendingMachines(uint32_t pool_index) const {
  const MachinePool& pool = pools_[pool_index];
  int sum = 0;
  for (const auto& i : requests_) {
    if (i->spot == pool.spot && i->type == job_store_->types[pool.type] &&
        i->zone == job_store_->zones[pool.zone]) {
      sum += i->count;
    }
  }
  return sum;
}

std::string Provisioner::EncodeRequest(const ScaleOutRequest& request) const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "r", request.request_id);
  PutString(writer, "c", request.type);
  PutString(writer, "z", request.zone);
  writer.Key("sp");
  writer.Bool(request.spot);
  writer.Key("n");
  writer.Int(request.count);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

void Provisioner::ScaleOut(uint32_t pool_index, int count, const std::string& reason) {
  if (count > kMaxScaleOutBatch) {
    ScaleOut(pool_index, count - kMaxScaleOutBatch, reason);
    count = kMaxScaleOutBatch;
  }
  const MachinePool& pool = pools_[pool_index];
  auto request = std::make_unique<ScaleOutRequest>();
  // The term makes the ID unique: no other leader can use it.
  request->request_id = "r-" + std::to_string(term_) + "-" + std::to_string(next_request_number_++);
  request->type = job_store_->types[pool.type];
  request->zone = job_store_->zones[pool.zone];
  request->spot = pool.spot;
  request->count = count;
  spdlog::info("machines={} type={}{} zone={} request={}: scale-out requested: {}", request->count,
               request->type, pool.spot ? " (spot)" : "", request->zone, request->request_id,
               reason);
  const std::string text = EncodeRequest(*request);
  request->record_id = record_store_->Add(text, text.size(), WritePriority::kImmediate);
  requests_.push_back(std::move(request));
}

void Provisioner::SendScaleOut(ScaleOutRequest* request) {
  request->in_flight = true;
  cloud_->ScaleOut(request->request_id, request->type, request->zone, request->spot, request->count,
                   [this, request_id = request->request_id](const ScaleOutResponse& response) {
                     HandleScaleOutResponse(request_id, response);
                   });
}

void Provisioner::HandleScaleOutResponse(const std::string& request_id,
                                         const ScaleOutResponse& response) {
  auto it = std::find_if(requests_.begin(), requests_.end(),
                         [&request_id](const auto& i) { return i->request_id == request_id; });
  if (it == requests_.end()) return;
  ScaleOutRequest& request = **it;
  const double now = clock_->Now();
  request.in_flight = false;
  if (!response.ok && !response.out_of_capacity && !response.malformed) {
    // The cloud may have carried out the request. A retry with the same ID creates no machine
    // twice.
    request.retry_after = now + 1.0;
    return;
  }
  const auto granted = static_cast<int>(response.machines.size());
  if (MachinePool* pool = FindPool(request.type, request.zone, request.spot)) {
    if (granted < request.count) {
      pool->backoff_s =
          std::clamp(pool->backoff_s * 2, options_.min_backoff_s, options_.max_backoff_s);
      pool->backoff_until = now + pool->backoff_s;
      spdlog::info("zone={} type={}{} granted={} requested={} backoff_s={}: out of capacity",
                   request.zone, request.type, request.spot ? " (spot)" : "", granted,
                   request.count, pool->backoff_s);
    } else {
      pool->backoff_s = 0;
    }
  }
  for (const std::string& name : response.machines) {
    MachineIndex machine_index = fleet_->Find(name);
    if (machine_index == kNoIndex) machine_index = fleet_->Add(name);
    Machine& machine = (*fleet_)[machine_index];
    if (machine.type == kNoIndex) {
      machine.type = job_store_->types.Add(request.type);
      machine.zone = job_store_->zones.Add(request.zone);
      machine.spot = request.spot;
      machine.provisioned_at_wall = clock_->Wall();
    }
    if (!machine.may_run_former_attempts && !machine.up) machine.reconciled = true;
    machine.registered = true;
    machine.capacity_stale = true;
    SaveMachine(machine_index, WritePriority::kImmediate);
  }
  record_store_->Remove(request.record_id);
  requests_.erase(it);
  fleet_->placement_needed = true;
}

void Provisioner::SaveMachine(MachineIndex machine_index, WritePriority priority) {
  Machine& machine = (*fleet_)[machine_index];
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(2);
  writer.StartObject();
  PutString(writer, "m", machine.name);
  PutString(writer, "e", machine.endpoint);
  if (machine.type != kNoIndex) PutString(writer, "c", job_store_->types[machine.type]);
  if (machine.zone != kNoIndex) PutString(writer, "z", job_store_->zones[machine.zone]);
  writer.Key("sp");
  writer.Bool(machine.spot);
  writer.Key("w");
  writer.Double(machine.provisioned_at_wall);
  if (machine.unrenewed_since_wall >= 0) {
    writer.Key("u");
    writer.Double(machine.unrenewed_since_wall);
  }
  writer.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  const size_t reserve = MachineReserve(machine, text);
  if (machine.record_id == kNoRecord) {
    machine.record_id = record_store_->Add(std::move(text), reserve, priority);
  } else {
    record_store_->Update(machine.record_id, std::move(text), reserve, priority);
  }
}

MachineIndex Provisioner::AddUnexpectedMachine(const Heartbeat& heartbeat) {
  const MachineIndex machine_index = fleet_->Add(heartbeat.machine);
  Machine& machine = (*fleet_)[machine_index];
  machine.type = job_store_->types.Add(heartbeat.type);
  machine.zone = job_store_->zones.Add(heartbeat.zone);
  machine.spot = heartbeat.spot;
  machine.endpoint = heartbeat.endpoint;
  machine.provisioned_at_wall = clock_->Wall();
  spdlog::info("machine={} type={} zone={}{}: heartbeat of an unexpected machine",
               heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot ? " (spot)" : "");
  return machine_index;
}

void Provisioner::ScaleIn(MachineIndex machine_index, const char* reason) {
  Machine& machine = (*fleet_)[machine_index];
  if (machine.scaling_in || machine.removed) return;
  machine.scaling_in = machine.unschedulable = true;
  next_scale_in_at_ = std::min(next_scale_in_at_, clock_->Now());
  spdlog::info("machine={}: scale-in: {}", machine.name, reason);
}

void Provisioner::SendScaleIn() {
  std::vector<std::string> names;
  std::vector<MachineIndex> machine_indices;
  for (MachineIndex i : fleet_->active()) {
    const Machine& machine = (*fleet_)[i];
    if (names.size() >= kMaxScaleInBatch) break;
    if (!machine.scaling_in) continue;
    names.push_back(machine.name);
    machine_indices.push_back(i);
  }
  if (names.empty()) return;
  scale_in_in_flight_ = true;
  cloud_->ScaleIn(names, [this, machine_indices](bool ok) {
    scale_in_in_flight_ = false;
    // After a full batch more machines may wait. They are released soon, since tasks that may still
    // run on them can't be restarted elsewhere until then.
    next_scale_in_at_ =
        clock_->Now() + (ok && machine_indices.size() == kMaxScaleInBatch ? 0.05 : 0.5);
    if (!ok) return;
    for (MachineIndex i : machine_indices) {
      Machine& machine = (*fleet_)[i];
      fleet_->RemoveMachine(i, "released to the cloud");
      if (machine.record_id != kNoRecord) record_store_->Remove(machine.record_id);
      machine.record_id = kNoRecord;
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
    MachineIndex machine_index = fleet_->Find(row.name);
    if (machine_index == kNoIndex) {
      if (row.state == InstanceState::kFailed) {
        machine_index = fleet_->Add(row.name);
        (*fleet_)[machine_index].reconciled = true;
        ScaleIn(machine_index, "failed, and not in the fleet");
        continue;
      }
      // The response to a pending scale-out request may name the instance soon. The wait is
      // bounded, since a large fleet always has a pending request.
      if (HasPendingRequests() && row.age_s < options_.list_lag_s * 3) continue;
      // The list may be older than this term and still hold machines that the former leader
      // released. A machine that exists sends heartbeats in any case.
      if (clock_->Now() - started_at_ < options_.list_lag_s * 2 + 1) continue;
      machine_index = fleet_->Add(row.name);
      Machine& machine = (*fleet_)[machine_index];
      machine.type = job_store_->types.Add(row.type);
      machine.zone = job_store_->zones.Add(row.zone);
      machine.spot = row.spot;
      machine.provisioned_at_wall = clock_->Wall() - row.age_s;
      machine.endpoint = "";
      machine.registered = true;
      SaveMachine(machine_index, WritePriority::kBackground);
      spdlog::info("machine={} type={} zone={}: unexpected instance adopted", row.name, row.type,
                   row.zone);
      continue;
    }
    Machine& machine = (*fleet_)[machine_index];
    if (machine.removed || machine.scaling_in) continue;
    machine.registered = true;
    if (row.state == InstanceState::kFailed) {
      fleet_->ReleaseAttempts(machine_index, "the machine failed");
      fleet_->MarkReconciled(machine_index);
      ScaleIn(machine_index, "failed");
    }
  }
}

void Provisioner::Tick(bool lease_valid) {
  const double now = clock_->Now();
  if (!lease_valid) return;
  for (auto& request : requests_) {
    // Sent only once it is durable; otherwise a failover could lose track of its machines.
    if (!request->in_flight && now >= request->retry_after &&
        record_store_->IsDurable(request->record_id)) {
      SendScaleOut(request.get());
    }
  }
  if (!scale_in_in_flight_ && now >= next_scale_in_at_) SendScaleIn();
  if (!types_in_flight_ && now >= next_types_at_) RefreshTypes();
  if (!list_in_flight_ && now >= next_list_at_) RefreshInstances("");
}

}  // namespace deckhall
