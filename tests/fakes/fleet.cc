#include "fakes/fleet.h"

#include <boost/beast/core.hpp>

namespace citronlane::fakes {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr int64_t kDefaultTokens = 16;
constexpr char kAddress[] = "127.0.0.1";
constexpr std::string_view kFaultPath = "/fault/";

ServerSpec SpecOf(const JsonView& entry) {
  ServerSpec spec;
  spec.id_ = StringAt(entry, "id");
  spec.kind_ = StringAt(entry, "kind");
  spec.pool_ = StringAt(entry, "pool");
  spec.address_ = StringAt(entry, "address", spec.address_);
  spec.port_ = static_cast<uint16_t>(NumberAt(entry, "port", 0));
  spec.reports_load_ = BoolAt(entry, "reports_load", false);
  spec.tokens_ = NumberAt(entry, "tokens", kDefaultTokens);
  spec.pace_us_ = NumberAt(entry, "pace_us", 0);
  spec.slow_ms_ = NumberAt(entry, "slow_ms", 0);
  spec.checks_fencing_ = BoolAt(entry, "checks_fencing", true);
  spec.record_ = BoolAt(entry, "record", true);
  return spec;
}

uint16_t ControlPort(const JsonView& file) {
  return static_cast<uint16_t>(NumberAt(file, "control_port", 0));
}

}  // namespace

Fleet::Fleet(asio::io_context* context, const JsonView& file)
    : context_(context),
      acceptor_(
          *context,
          tcp::endpoint(asio::ip::make_address(kAddress), ControlPort(file))) {
  for (const JsonView& entry : file["servers"].GetArray()) {
    auto server = std::make_shared<FakeServer>(
        context, SpecOf(entry),
        [this](JsonWriter* writer) { WriteList(writer); });
    server->Start();
    servers_[server->spec().id_] = std::move(server);
  }
  asio::spawn(*context_,
              [this](const asio::yield_context& yield) { Serve(yield); });
}

std::string Fleet::Ports() const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("control");
  writer.Uint(acceptor_.local_endpoint().port());
  writer.Key("servers");
  writer.StartObject();
  for (const auto& [id, server] : servers_) {
    writer.Key(id.c_str());
    writer.Uint(server->port());
  }
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

void Fleet::Serve(const asio::yield_context& yield) {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(*context_);
    boost::system::error_code error;
    acceptor_.async_accept(*socket, yield[error]);
    if (error) {
      return;
    }
    asio::spawn(*context_, [this, socket](const asio::yield_context& inner) {
      ServeConnection(socket.get(), inner);
    });
  }
}

void Fleet::ServeConnection(tcp::socket* socket,
                            const asio::yield_context& yield) {
  beast::flat_buffer buffer;
  beast::error_code error;
  for (;;) {
    http::request<http::string_body> request;
    http::async_read(*socket, buffer, request, yield[error]);
    if (error) {
      return;
    }
    const auto [status, body] =
        HandleRequest({request.target().data(), request.target().size()},
                      request.body(), yield);
    http::response<http::string_body> response(http::int_to_status(status),
                                               request.version());
    response.body() = body;
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    http::async_write(*socket, response, yield[error]);
    if (error || !response.keep_alive()) {
      return;
    }
  }
}

Fleet::Reply Fleet::HandleRequest(const std::string& target,
                                  const std::string& body,
                                  const asio::yield_context& yield) {
  if (target == "/record" || target == "/clear") {
    return {200, Records(target == "/clear")};
  }
  if (target.rfind(kFaultPath, 0) == 0 &&
      InjectFault(target.substr(kFaultPath.size()), body, yield)) {
    return {200, "{}"};
  }
  return {404, "{}"};
}

bool Fleet::InjectFault(const std::string& id,
                        const std::string& body,
                        const asio::yield_context& yield) {
  Json order;
  order.Parse(body.data(), body.size());
  if (order.HasParseError() || !order.IsObject()) {
    return false;
  }
  bool found = false;
  for (const auto& [name, server] : servers_) {
    if (id == "*" || id == name || id == server->spec().pool_) {
      server->Apply(order, yield);
      found = true;
    }
  }
  return found;
}

std::string Fleet::Records(bool clear) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartArray();
  for (const auto& [id, server] : servers_) {
    server->WriteRecords(&writer, clear);
  }
  writer.EndArray();
  return buffer.GetString();
}

void Fleet::WriteList(JsonWriter* writer) {
  writer->StartObject();
  writer->Key("vms");
  writer->StartArray();
  for (const auto& [id, server] : servers_) {
    if (server->spec().kind_ != "platform") {
      server->WriteState(writer);
    }
  }
  writer->EndArray();
  writer->EndObject();
}

}  // namespace citronlane::fakes
