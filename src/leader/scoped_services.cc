#include "leader/scoped_services.h"

#include <utility>

namespace deckhall {

void ScopedKeyValueStore::Commit(const Transaction& transaction, Done done) {
  service_->Commit(transaction, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::Get(const std::string& key, Done done) {
  service_->Get(key, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::List(const std::string& prefix, const std::string& after, Done done) {
  service_->List(prefix, after, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::GrantLease(int ttl_ms, Done done) {
  service_->GrantLease(ttl_ms, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::KeepAliveLease(uint64_t lease, double timeout_s, Done done) {
  service_->KeepAliveLease(lease, timeout_s, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::RevokeLease(uint64_t lease, Done done) {
  service_->RevokeLease(lease, scope_->Bind(std::move(done)));
}

void ScopedKeyValueStore::Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) {
  service_->Watch(prefix, after, hold_ms, scope_->Bind(std::move(done)));
}

void ScopedCloudProvider::ListTypes(std::function<void(bool, std::vector<MachineType>)> done) {
  service_->ListTypes(scope_->Bind(std::move(done)));
}

void ScopedCloudProvider::ScaleOut(const std::string& request_id, const std::string& type,
                                   const std::string& zone, bool spot, int count,
                                   std::function<void(ScaleOutResponse)> done) {
  service_->ScaleOut(request_id, type, zone, spot, count, scope_->Bind(std::move(done)));
}

void ScopedCloudProvider::ScaleIn(const std::vector<std::string>& machines,
                                  std::function<void(bool)> done) {
  service_->ScaleIn(machines, scope_->Bind(std::move(done)));
}

void ScopedCloudProvider::ListInstances(
    const std::string& after, std::function<void(bool, std::vector<CloudInstance>, bool)> done) {
  service_->ListInstances(after, scope_->Bind(std::move(done)));
}

void ScopedWorkerClient::SendCommands(const std::string& endpoint, uint64_t fencing_token,
                                      uint64_t agent_epoch, const CommandBatch& commands,
                                      double timeout_s, Done done) {
  service_->SendCommands(endpoint, fencing_token, agent_epoch, commands, timeout_s,
                         scope_->Bind(std::move(done)));
}

void ScopedWorkerClient::Probe(const std::string& endpoint, double timeout_s, Done done) {
  service_->Probe(endpoint, timeout_s, scope_->Bind(std::move(done)));
}

}  // namespace deckhall
