#include "state_service.h"

namespace stage {

using deckhall::HttpResponse;
using deckhall::JsonValue;

namespace {

constexpr double kTickSeconds = 0.02;
constexpr size_t kMaxListBytes = 512 << 10;
constexpr size_t kMaxListItems = 1000;

HttpResponse Response(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

std::string Parameter(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::string Text(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  deckhall::JsonWriter writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

StateService::StateService(deckhall::Loop* loop, const deckhall::Endpoint& at,
                           const StateLimits& limits)
    : limits_(limits),
      revision_(limits.first_revision),
      ticker_(loop, [this] { Tick(); }),
      server_(loop, at, deckhall::HttpServerLimits(),
              [this](const deckhall::HttpMessage& request,
                     const deckhall::HttpServer::Reply& reply) { Handle(request, reply); }) {
  ticker_.Start(kTickSeconds, kTickSeconds);
}

void StateService::Preload(const std::string& key, const std::string& value) {
  entries_[key] = {value, ++revision_, 0};
}

std::string StateService::Leader() const {
  const auto entry = entries_.find("deckhall/leader");
  if (entry == entries_.end()) return "";
  rapidjson::Document document;
  std::string label;
  if (deckhall::ParseJson(entry->second.value, &document))
    deckhall::JsonString(document, "label", &label);
  return label;
}

std::string StateService::Revision() const {
  return "{\"marea\":" + std::to_string(revision_) + "}";
}

void StateService::Handle(const deckhall::HttpMessage& request,
                          const deckhall::HttpServer::Reply& reply) {
  const std::string& target = request.target;
  if (target.starts_with("/follow")) {
    const std::string hold_ms = Parameter(target, "hold_ms");
    watches_.push_back(
        {Parameter(target, "starts"), std::stoull(Parameter(target, "from")),
         deckhall::SteadySeconds() + (hold_ms.empty() ? 0 : std::stod(hold_ms) / 1000), reply});
  } else if (target.starts_with("/kv/")) {
    reply(Get(target.substr(4)));
  } else if (target.starts_with("/kv")) {
    reply(List(target));
  } else if (target == "/txn") {
    reply(Commit(request.body));
  } else {
    reply(HandleLease(request));
  }
}

HttpResponse StateService::Get(const std::string& key) const {
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) return Response(404, Revision());
  return Response(200, "{\"key\":\"" + key + "\",\"data\":" + entry->second.value +
                           ",\"huella\":" + std::to_string(entry->second.revision) +
                           ",\"amarre\":" + std::to_string(entry->second.lease) + "}");
}

HttpResponse StateService::List(const std::string& target) const {
  const std::string prefix = Parameter(target, "starts");
  const std::string after = Parameter(target, "from");
  const std::string page = Parameter(target, "page");
  const size_t max_items = page.empty() ? kMaxListItems : std::stoul(page);
  std::string rows;
  size_t count = 0;
  bool truncated = false;
  for (const auto& [key, entry] : entries_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    truncated = count >= max_items || rows.size() + entry.value.size() > kMaxListBytes;
    if (truncated) break;
    if (count++ > 0) rows += ',';
    rows += "{\"key\":\"" + key + "\",\"data\":" + entry.value +
            ",\"huella\":" + std::to_string(entry.revision) + "}";
  }
  return Response(200, "{\"rows\":[" + rows + "],\"truncated\":" + (truncated ? "true" : "false") +
                           ",\"marea\":" + std::to_string(revision_) + "}");
}

HttpResponse StateService::Commit(const std::string& body) {
  rapidjson::Document document;
  if (!deckhall::ParseJson(body, &document)) return Response(400, "{\"error\":\"malformed\"}");
  if (const JsonValue* conditions = deckhall::JsonMember(document, "if")) {
    for (const auto& condition : conditions->GetArray()) {
      const std::string key = condition["key"].GetString();
      const auto entry = entries_.find(key);
      const uint64_t revision = entry == entries_.end() ? 0 : entry->second.revision;
      if (revision != condition["huella"].GetUint64()) {
        return Response(
            409, "{\"failed\":[\"" + key + "\"],\"marea\":" + std::to_string(revision_) + "}");
      }
    }
  }
  const JsonValue* writes = deckhall::JsonMember(document, "writes");
  if (writes == nullptr) return Response(200, Revision());
  HttpResponse error;
  if (!AreValid(*writes, &error)) return error;
  Apply(*writes);
  return Response(200, Revision());
}

bool StateService::AreValid(const JsonValue& writes, HttpResponse* error) const {
  *error = Response(400, "{\"error\":\"too large\"}");
  if (writes.Size() > limits_.transaction_operations) return false;
  for (const auto& write : writes.GetArray()) {
    const JsonValue* data = deckhall::JsonMember(write, "data");
    if (data != nullptr && static_cast<double>(Text(*data).size()) > limits_.value_kb * 1024)
      return false;
    uint64_t lease = 0;
    if (deckhall::JsonU64(write, "amarre", &lease) && !leases_.contains(lease)) {
      *error = Response(400, "{\"error\":\"no such lease\"}");
      return false;
    }
  }
  return true;
}

void StateService::Apply(const JsonValue& writes) {
  ++revision_;
  for (const auto& write : writes.GetArray()) {
    std::string key;
    if (deckhall::JsonString(write, "remove", &key)) {
      entries_.erase(key);
    } else if (deckhall::JsonString(write, "put", &key)) {
      Entry entry{Text(write["data"]), revision_, 0};
      deckhall::JsonU64(write, "amarre", &entry.lease);
      entries_[key] = entry;
    }
    changed_at_[key] = revision_;
  }
}

HttpResponse StateService::HandleLease(const deckhall::HttpMessage& request) {
  constexpr std::string_view kPath = "/grants";
  if (request.target == kPath) {
    rapidjson::Document document;
    double duration_ms = 0;
    if (!deckhall::ParseJson(request.body, &document) ||
        !deckhall::JsonNumber(document, "ttl_ms", &duration_ms)) {
      return Response(400, "{}");
    }
    const uint64_t id = next_lease_++;
    leases_[id] = {duration_ms / 1000, deckhall::SteadySeconds() + duration_ms / 1000};
    return Response(200, "{\"amarre\":" + std::to_string(id) + "}");
  }
  const uint64_t id = std::stoull(request.target.substr(kPath.size() + 1));
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return Response(404, Revision());
  if (request.method == "DELETE") {
    EndLease(id);
  } else {
    lease->second.ends_at = deckhall::SteadySeconds() + lease->second.duration_s;
  }
  return Response(200, "{}");
}

void StateService::EndLease(uint64_t lease) {
  leases_.erase(lease);
  ++revision_;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) changed_at_[key] = revision_;
  }
  std::erase_if(entries_, [lease](const auto& entry) { return entry.second.lease == lease; });
}

bool StateService::HasChanged(const Watch& watch) const {
  for (const auto& [key, at] : changed_at_) {
    if (at > watch.after && key.starts_with(watch.prefix)) return true;
  }
  return false;
}

void StateService::Tick() {
  const double now = deckhall::SteadySeconds();
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.ends_at) ended.push_back(id);
  }
  for (const uint64_t id : ended) EndLease(id);
  std::vector<Watch> ready;
  std::erase_if(watches_, [this, now, &ready](const Watch& watch) {
    if (now < watch.until && !HasChanged(watch)) return false;
    ready.push_back(watch);
    return true;
  });
  // The controllers read the key again after each answer, so the events are left out.
  for (const Watch& watch : ready) {
    watch.reply(Response(200, "{\"marea\":" + std::to_string(revision_) + ",\"events\":[]}"));
  }
}

}  // namespace stage
