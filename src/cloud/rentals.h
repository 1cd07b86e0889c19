// Machines in the cloud: rents them, learns of them, returns them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_port.h"
#include "fleet/fleet.h"

namespace deckhall {

struct RentalOptions {
  double list_every_s = 4;
  double list_lag_s = 8;
  double types_every_s = 45;
  double refusal_s = 6;  // a pool that refused is left alone this long, doubling
  double refusal_most_s = 30;
};

// A type in a zone, ordinary or spot.
struct Pool {
  uint32_t type = 0;
  uint32_t zone = 0;
  bool spot = false;
  double refused_until = 0;
  double refusal_s = 0;
};

class Rentals {
 public:
  Rentals(CloudPort* cloud, RecordStore* record_store, Fleet* fleet, JobStore* job_store,
          const Clock* clock, uint64_t term, RentalOptions options);

  // Reads one row if it is one of ours.
  bool LoadRow(RecordId row, const std::string& text);
  // What was rented for an earlier leader is asked for once more, by name.
  void Start();
  void Tick(bool trusted);

  bool types_known() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  std::vector<Pool>& pools() { return pools_; }
  // Index in types() by the book's name index; kNone if not offered.
  const MachineType* TypeOf(uint32_t type) const;
  // Machines asked for and not named yet.
  int Pending(uint32_t pool) const;
  bool Renting() const { return !intents_.empty(); }

  void Rent(uint32_t pool, int count, const std::string& why);
  void Return(MachineIndex m, const char* why);
  // A machine reported that nobody knows.
  MachineIndex Unexpected(const Heartbeat& report);
  // Keeps what is known of a machine; false until that is durable.
  void SaveMachine(MachineIndex m, WritePriority urgency);

 private:
  struct Intent {
    std::string request;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
    RecordId row = kNoRecord;
    bool asked = false;
    bool old = false;
    double retry_at = 0;
  };

  void SetTypes(std::vector<MachineType> types);
  std::string IntentText(const Intent& intent) const;
  void Ask(Intent* intent);
  void Rented(const std::string& request, const RentAnswer& answer);
  void SendReturns();
  void AskTypes();
  void AskList(const std::string& after);
  void Listed(const std::vector<CloudInstance>& rows);
  Pool* PoolOf(const std::string& type, const std::string& zone, bool spot);

  CloudPort* cloud_;
  RecordStore* record_store_;
  Fleet* fleet_;
  JobStore* job_store_;
  const Clock* clock_;
  uint64_t term_;
  RentalOptions options_;
  std::vector<MachineType> types_;
  RecordId types_row_ = kNoRecord;
  std::vector<const MachineType*> type_of_;  // by the book's name index
  std::vector<Pool> pools_;
  std::vector<std::unique_ptr<Intent>> intents_;
  uint64_t next_request_ = 1;
  double next_list_ = 0;
  double next_types_ = 0;
  double next_return_ = 0;
  bool listing_ = false;
  bool asking_types_ = false;
  bool returning_ = false;
  double started_at_ = 0;
};

}  // namespace deckhall
