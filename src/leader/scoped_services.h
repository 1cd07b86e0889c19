// The services of a leader, with every response bound to the leader's CallbackScope.
//
// The state service, the cloud and the workers respond to a leader's requests at any time, also
// after its term. All parts of a leader send their requests through these classes, so no response
// reaches a part of a leader that has retired or been destroyed.
//
// Owned by Leader. The services and the scope must outlive these objects; the responses may come
// after both have been destroyed.
#pragma once

#include <string>
#include <vector>

#include "cloud/cloud_provider.h"
#include "common/callback_scope.h"
#include "fleet/worker_client.h"
#include "state/key_value_store.h"

namespace deckhall {

class ScopedKeyValueStore : public KeyValueStore {
 public:
  ScopedKeyValueStore(KeyValueStore* service, const CallbackScope* scope)
      : service_(service), scope_(scope) {}

  void Commit(const Transaction& transaction, Done done) override;
  void Get(const std::string& key, Done done) override;
  void List(const std::string& prefix, const std::string& after, Done done) override;
  void GrantLease(int ttl_ms, Done done) override;
  void KeepAliveLease(uint64_t lease, double timeout_s, Done done) override;
  void RevokeLease(uint64_t lease, Done done) override;
  void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) override;
  double AvailableWriteTokens() override { return service_->AvailableWriteTokens(); }

 private:
  KeyValueStore* service_;
  const CallbackScope* scope_;
};

class ScopedCloudProvider : public CloudProvider {
 public:
  ScopedCloudProvider(CloudProvider* service, const CallbackScope* scope)
      : service_(service), scope_(scope) {}

  void ListTypes(std::function<void(bool, std::vector<MachineType>)> done) override;
  void ScaleOut(const std::string& request_id, const std::string& type, const std::string& zone,
                bool spot, int count, std::function<void(ScaleOutResponse)> done) override;
  void ScaleIn(const std::vector<std::string>& machines, std::function<void(bool)> done) override;
  void ListInstances(const std::string& after,
                     std::function<void(bool, std::vector<CloudInstance>, bool)> done) override;

 private:
  CloudProvider* service_;
  const CallbackScope* scope_;
};

class ScopedWorkerClient : public WorkerClient {
 public:
  ScopedWorkerClient(WorkerClient* service, const CallbackScope* scope)
      : service_(service), scope_(scope) {}

  void SendCommands(const std::string& endpoint, uint64_t fencing_token, uint64_t agent_epoch,
                    const CommandBatch& commands, double timeout_s, Done done) override;
  void Probe(const std::string& endpoint, double timeout_s, Done done) override;

 private:
  WorkerClient* service_;
  const CallbackScope* scope_;
};

}  // namespace deckhall
