#include "citronlane/control/replica.h"

#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/replica_impl.h"
#include "citronlane/storage/posix_file_system.h"
#include "citronlane/transport/grpc_credentials.h"

namespace citronlane {
namespace {

// Maximum number of calls queued for the thread; further ones fail immediately.
constexpr size_t kMaxQueuedCalls = 1 << 16;

}  // namespace

bool Replica::Impl::Inbox::IsEmpty() const {
  return messages_.empty() && proposals_.empty() && reads_.empty() &&
         changes_.empty() && greetings_.empty();
}

Replica::Impl::Impl(ReplicaOptions options, ReplicaHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(std::random_device()()),
      snapshots_(options_.snapshot_interval_,
                 options_.snapshot_bytes_,
                 hooks_.take_snapshot_) {
  const auto own = options_.initial_voters_.find(options_.raft_.id_);
  own_address_ =
      own == options_.initial_voters_.end() ? options_.listen_ : own->second;
  if (!options_.files_.sync_) {
    options_.files_ = PosixFileSystem();
  }
  status_.id_ = options_.raft_.id_;
}

Replica::Impl::~Impl() {
  Stop();
}

bool Replica::Impl::Start(Error* error) {
  const auto credentials = MakeChannelCredentials(options_.tls_, error);
  if (!credentials) {
    return false;
  }
  peers_ = std::make_unique<ReplicaPeers>(options_.raft_.id_, own_address_,
                                          credentials);
  if (!OpenDisk(error) || !StartServer(error)) {
    return false;
  }
  running_ = true;
  PublishStatus();
  thread_.Start([this] { Run(); });
  return true;
}

bool Replica::Impl::OpenDisk(Error* error) {
  storage_ = std::make_unique<ReplicaStorage>(
      options_.files_, options_.data_dir_, options_.segment_bytes_,
      [this] { return random_() | 1; });
  auto state = storage_->Open(options_.raft_.id_, error);
  if (!state) {
    return false;
  }
  if (!state->truncation_.empty()) {
    Log(state->truncation_);
  }
  options_.raft_.incarnation_ = state->incarnation_;
  greeting_.node_ = options_.raft_.id_;
  greeting_.incarnation_ = state->incarnation_;
  const bool is_initial =
      options_.initial_voters_.count(options_.raft_.id_) != 0;
  if (state->snapshot_.index_ == 0 && is_initial) {
    std::set<uint64_t> others;
    for (const auto& [id, address] : options_.initial_voters_) {
      greeting_.incarnations_[id] = 0;
      if (id != options_.raft_.id_) {
        others.insert(id);
      }
    }
    formation_ = std::make_unique<ClusterFormation>(
        options_.raft_.id_, state->incarnation_, std::move(others));
    return true;
  }
  StartNode(std::move(*state));
  if (node_->identity_lost()) {
    error->message_ = "the membership records another disk for node " +
                      std::to_string(options_.raft_.id_) +
                      "; join under an id never used";
    return false;
  }
  return true;
}

bool Replica::Impl::StartServer(Error* error) {
  const auto credentials = MakeServerCredentials(options_.tls_, error);
  if (!credentials) {
    return false;
  }
  ReplicationServer::Hooks hooks;
  hooks.received_ = [this](Message message) {
    Post([&](Inbox* inbox) { inbox->messages_.push_back(std::move(message)); });
  };
  hooks.peer_contacted_ = [this](uint64_t id, std::string address) {
    peers_->Learn(id, std::move(address));
  };
  hooks.greet_ = [this] { return Greet(); };
  server_ = std::make_unique<ReplicationServer>(options_.listen_, credentials,
                                                std::move(hooks));
  return server_->Start(error);
}

void Replica::Impl::Stop() {
  thread_.Stop();
  server_.reset();
  if (peers_) {
    peers_->Clear();
  }
}

ReplicationGreeting Replica::Impl::Greet() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return greeting_;
}

// Queues work for the thread. Returns false when the queue is full or the
// thread is not running.
bool Replica::Impl::Post(const std::function<void(Inbox*)>& fill) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const size_t queued = inbox_.messages_.size() + inbox_.proposals_.size() +
                          inbox_.reads_.size();
    if (!running_ || queued >= kMaxQueuedCalls) {
      return false;
    }
    fill(&inbox_);
  }
  wake_.notify_one();
  return true;
}

void Replica::Impl::Propose(std::string payload, ProposeDone done) {
  const bool posted = Post([&](Inbox* inbox) {
    inbox->proposals_.push_back(Proposal{std::move(payload), std::move(done)});
  });
  if (!posted) {
    done(std::nullopt,
         Error{"the replica is not running or its queue is full"});
  }
}

void Replica::Impl::Read(ReadDone done) {
  if (!Post([&](Inbox* inbox) { inbox->reads_.push_back(std::move(done)); })) {
    done(false);
  }
}

void Replica::Impl::Change(ChangeKind kind,
                           uint64_t id,
                           std::string address,
                           ProposeDone done) {
  const bool posted = Post([&](Inbox* inbox) {
    inbox->changes_.push_back(
        MembershipChange{kind, id, std::move(address), std::move(done)});
  });
  if (!posted) {
    done(std::nullopt,
         Error{"the replica is not running or its queue is full"});
  }
}

ReplicaStatus Replica::Impl::status() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  ReplicaStatus status = status_;
  status.leader_lease_ = SteadyNow() < lease_end_;
  return status;
}

void Replica::Impl::Log(const std::string& line) const {
  if (hooks_.log_) {
    hooks_.log_(line);
  }
}

Replica::Replica(ReplicaOptions options, ReplicaHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

Replica::~Replica() = default;

bool Replica::Start(Error* error) {
  return impl_->Start(error);
}

void Replica::Stop() {
  impl_->Stop();
}

void Replica::Propose(std::string payload, ProposeDone done) {
  impl_->Propose(std::move(payload), std::move(done));
}

void Replica::Read(ReadDone done) {
  impl_->Read(std::move(done));
}

void Replica::AddLearner(uint64_t id, std::string address, ProposeDone done) {
  impl_->Change(Impl::ChangeKind::kAddLearner, id, std::move(address),
                std::move(done));
}

void Replica::Promote(uint64_t id, ProposeDone done) {
  impl_->Change(Impl::ChangeKind::kPromote, id, "", std::move(done));
}

void Replica::Remove(uint64_t id, ProposeDone done) {
  impl_->Change(Impl::ChangeKind::kRemove, id, "", std::move(done));
}

ReplicaStatus Replica::status() const {
  return impl_->status();
}

}  // namespace citronlane
