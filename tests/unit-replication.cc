#include <catch2/catch.hpp>

#include <grpcpp/grpcpp.h>
#include <unistd.h>

#include <rapidcheck.h>
#include <chrono>
#include <filesystem>
#include <string>

#include "citronlane/consensus/membership_codec.h"
#include "citronlane/storage/detail/log_reader.h"
#include "citronlane/storage/detail/record.h"
#include "citronlane/transport/grpc_credentials.h"
#include "citronlane/transport/replication_codec.h"
#include "citronlane/transport/replication_greeting.h"
#include "citronlane/transport/replication_server.h"
#include "replication.grpc.pb.h"
#include "support/test_certificates.h"

namespace citronlane {
namespace {

namespace fs = std::filesystem;

constexpr std::chrono::seconds kCallDeadline(5);

/// Whether a node with these certificates gets a reply from `address`.
bool CanGreet(const std::string& address, const TlsFiles& files) {
  Error error;
  const auto stub = wire::Replication::NewStub(
      grpc::CreateChannel(address, MakeChannelCredentials(files, &error)));
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallDeadline);
  wire::HelloReply reply;
  return stub->Hello(&context, wire::HelloRequest(), &reply).ok() &&
         reply.node() == 7;
}

}  // namespace

TEST_CASE("replication between control VMs over TLS") {
  const fs::path folder = fs::temp_directory_path() /
                          ("citronlane-tls-" + std::to_string(::getpid()));
  const TlsFiles files = WriteTestCertificates(folder, "ours");
  Error error;

  SECTION("replies only to a node with a certificate of the same CA") {
    ReplicationServer::Hooks hooks;
    hooks.greet_ = [] { return ReplicationGreeting{7, 1, false, {}}; };
    ReplicationServer server("127.0.0.1:0",
                             MakeServerCredentials(files, &error), hooks);
    REQUIRE(server.Start(&error));
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    CHECK(CanGreet(address, files));
    CHECK_FALSE(CanGreet(address, TlsFiles{}));
    TlsFiles foreign = WriteTestCertificates(folder, "foreign");
    foreign.ca_ = files.ca_;
    CHECK_FALSE(CanGreet(address, foreign));
  }
  SECTION("rejects a key that others may read, and missing files") {
    fs::permissions(files.private_key_, fs::perms::group_read,
                    fs::perm_options::add);
    CHECK(MakeServerCredentials(files, &error) == nullptr);
    CHECK(error.message_.find("mode 0600") != std::string::npos);
    TlsFiles missing = WriteTestCertificates(folder, "other");
    missing.ca_ += ".gone";
    CHECK(MakeChannelCredentials(missing, &error) == nullptr);
    CHECK(error.message_ == "can not read " + missing.ca_);
  }
  fs::remove_all(folder);
}

TEST_CASE("decoders accept or reject any input") {
  SECTION("messages keep every field") {
    CHECK(rc::check([] {
      Message message;
      message.kind_ = static_cast<MessageKind>(*rc::gen::inRange(0, 11));
      message.from_ = *rc::gen::arbitrary<uint64_t>();
      message.term_ = *rc::gen::arbitrary<uint64_t>();
      message.incarnation_ = *rc::gen::arbitrary<uint64_t>();
      message.hint_index_ = *rc::gen::arbitrary<uint64_t>();
      message.reject_ = *rc::gen::arbitrary<bool>();
      message.data_ = *rc::gen::arbitrary<std::string>();
      message.entries_.push_back(Entry{message.from_, message.term_,
                                       EntryKind::kCommand,
                                       *rc::gen::arbitrary<std::string>()});
      wire::RaftMessage encoded;
      EncodeMessage(message, &encoded);
      const auto decoded = DecodeMessage(&encoded);
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded->kind_ == message.kind_);
      RC_ASSERT(decoded->from_ == message.from_);
      RC_ASSERT(decoded->term_ == message.term_);
      RC_ASSERT(decoded->incarnation_ == message.incarnation_);
      RC_ASSERT(decoded->hint_index_ == message.hint_index_);
      RC_ASSERT(decoded->reject_ == message.reject_);
      RC_ASSERT(decoded->data_ == message.data_);
      RC_ASSERT(decoded->entries_.front().payload_ ==
                message.entries_.front().payload_);
    }));
  }
  SECTION("a message or entry of unknown kind is rejected") {
    wire::RaftMessage message;
    message.set_kind(11);
    CHECK_FALSE(DecodeMessage(&message));
    message.set_kind(4);
    message.add_entries()->set_kind(3);
    CHECK_FALSE(DecodeMessage(&message));
  }
  SECTION("records and memberships of random bytes") {
    CHECK(rc::check([](const std::string& bytes) {
      size_t size = 0;
      Error error;
      RC_ASSERT(!DecodeRecord(bytes, &size).has_value());
      DecodeMembership(bytes, &error);
    }));
  }
  SECTION("a log of records in any order") {
    CHECK(rc::check([] {
      std::string log;
      const auto count = *rc::gen::inRange<size_t>(0, 20);
      for (size_t i = 0; i < count; ++i) {
        const auto kind =
            *rc::gen::element(RecordKind::kCommandEntry, RecordKind::kHardState,
                              RecordKind::kTruncate, RecordKind::kSnapshotMark);
        EncodeRecord(Record{kind, *rc::gen::arbitrary<bool>(), i,
                            *rc::gen::inRange<uint64_t>(0, 4),
                            *rc::gen::inRange<uint64_t>(0, 8), "payload"},
                     &log);
      }
      LogReader reader;
      Error error;
      if (!reader.Read("log", log, true, &error)) {
        RC_ASSERT(error.message_.find(" in log at offset ") !=
                  std::string::npos);
        return;
      }
      uint64_t next = reader.log().base_index_;
      for (const Entry& entry : reader.log().entries_) {
        RC_ASSERT(entry.index_ == ++next);
      }
    }));
  }
}

}  // namespace citronlane
