// Provisioning of machines in the cloud: scale-out, scale-in, and discovery of existing instances.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_provider.h"
#include "fleet/fleet.h"

namespace deckhall {

struct ProvisionerOptions {
  double list_interval_s = 4;
  double list_lag_s = 8;  // age of the instance list; sometimes twice as much
  double types_interval_s = 45;
  double min_backoff_s = 6;  // of a pool that is out of capacity; doubles up to the maximum
  double max_backoff_s = 30;
};

// A machine type in a zone, ordinary or spot.
struct MachinePool {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double backoff_until = 0;
  double backoff_s = 0;
};

class Provisioner {
 public:
  Provisioner(CloudProvider* cloud, RecordStore* record_store, Fleet* fleet, JobStore* job_store,
              const Clock* clock, uint64_t term, ProvisionerOptions options);

  // Loads a stored record if it holds machine types, a machine or a scale-out request; otherwise
  // returns false.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // Starts polling the cloud. Scale-out requests of an earlier leader are sent again under their
  // IDs.
  void Start();
  void Tick(bool lease_valid);

  bool types_known() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  std::vector<MachinePool>& pools() { return pools_; }
  // The machine type with this index in JobStore::types; null if it is not offered.
  const MachineType* TypeOf(uint32_t type) const;
  // Number of machines that were requested and that the cloud has not named yet.
  int PendingMachines(uint32_t pool_index) const;
  bool HasPendingRequests() const { return !requests_.empty(); }

  void ScaleOut(uint32_t pool_index, int count, const std::string& reason);
  void ScaleIn(MachineIndex machine_index, const char* reason);
  // Adds an unknown machine that sent a heartbeat.
  MachineIndex AddUnexpectedMachine(const Heartbeat& heartbeat);
  // Writes the machine's record.
  void SaveMachine(MachineIndex machine_index, WritePriority priority);

 private:
  struct ScaleOutRequest {
    std::string request_id;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
    RecordId record_id = kNoRecord;
    bool in_flight = false;
    bool from_earlier_term = false;
    double retry_after = 0;
  };

  void SetTypes(std::vector<MachineType> types);
  std::string EncodeRequest(const ScaleOutRequest& request) const;
  void SendScaleOut(ScaleOutRequest* request);
  void HandleScaleOutResponse(const std::string& request_id, const ScaleOutResponse& response);
  void SendScaleIn();
  void RefreshTypes();
  void RefreshInstances(const std::string& after);
  void ApplyInstanceList(const std::vector<CloudInstance>& rows);
  MachinePool* FindPool(const std::string& type, const std::string& zone, bool spot);

  CloudProvider* cloud_;
  RecordStore* record_store_;
  Fleet* fleet_;
  JobStore* job_store_;
  const Clock* clock_;
  uint64_t term_;
  ProvisionerOptions options_;
  std::vector<MachineType> types_;
  RecordId types_record_ = kNoRecord;
  std::vector<const MachineType*> types_by_index_;  // by index in JobStore::types
  std::vector<MachinePool> pools_;
  std::vector<std::unique_ptr<ScaleOutRequest>> requests_;
  uint64_t next_request_number_ = 1;
  double next_list_at_ = 0;
  double next_types_at_ = 0;
  double next_scale_in_at_ = 0;
  bool list_in_flight_ = false;
  bool types_in_flight_ = false;
  bool scale_in_in_flight_ = false;
  double started_at_ = 0;
};

}  // namespace deckhall
