#include "fescuedyke/transport/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace fescuedyke {

namespace {

namespace http = Pistache::Http;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool set_by_server(const std::string& name)
{
    return name == "content-length" || name == "transfer-encoding" || name == "connection";
}

/// Pistache writes only typed headers; this one has its name and value as they are.
class named_header final : public http::Header::Header {
public:
    explicit named_header(const header& h) : name_(h.name), value_(h.value) {}

    const char* name() const override { return name_.c_str(); }
    void write(std::ostream& stream) const override { stream << value_; }
#ifdef SAFE_HEADER_CAST
    std::uint64_t hash() const override
    {
        return std::hash<std::string>{}(name_);
    }
#endif

private:
    std::string name_;
    std::string value_;
};

http_request take_request(const http::Request& from)
{
    http_request request;
    request.method = http::methodString(from.method());
    request.path = from.resource() + from.query().as_str();
    for (const auto& [name, raw] : from.headers().rawList()) {
        request.headers.push_back({lower(raw.name()), raw.value()});
    }
    request.body = std::make_shared<const std::string>(from.body());
    return request;
}

/// Open exchanges, shared by the serving threads and those that answer.
class exchange_table {
public:
    exchange_id add(http::ResponseWriter writer, std::size_t peer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const exchange_id id(next_++);
        by_peer_[peer].insert(id);
        open_.emplace(id, entry{std::move(writer), peer});
        return id;
    }

    std::optional<http::ResponseWriter> take(exchange_id id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = open_.find(id);
        if (found == open_.end()) {
            return std::nullopt;
        }
        std::optional<http::ResponseWriter> writer(std::move(found->second.writer));
        forget(id, found->second.peer);
        open_.erase(found);
        return writer;
    }

    std::set<exchange_id> take_all_of(std::size_t peer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = by_peer_.find(peer);
        if (found == by_peer_.end()) {
            return {};
        }
        std::set<exchange_id> ids = std::move(found->second);
        by_peer_.erase(found);
        for (const exchange_id id : ids) {
            open_.erase(id);
        }
        return ids;
    }

private:
    struct entry {
        http::ResponseWriter writer;
        std::size_t peer;
    };

    void forget(exchange_id id, std::size_t peer)
    {
        const auto found = by_peer_.find(peer);
        if (found != by_peer_.end()) {
            found->second.erase(id);
            if (found->second.empty()) {
                by_peer_.erase(found);
            }
        }
    }

    std::mutex mutex_;
    std::uint64_t next_ = 1;
    std::map<exchange_id, entry> open_;
    std::map<std::size_t, std::set<exchange_id>> by_peer_;
};

class exchange_handler : public http::Handler {
public:
    HTTP_PROTOTYPE(exchange_handler)

    exchange_handler(std::shared_ptr<exchange_table> table, http_server::handlers h)
        : table_(std::move(table)), handlers_(std::move(h))
    {
    }

    void onRequest(const http::Request& request, http::ResponseWriter writer) override
    {
        const std::shared_ptr<Pistache::Tcp::Peer> peer = writer.getPeer();
        http_request taken = take_request(request);
        const exchange_id id = table_->add(std::move(writer), peer->getID());
        handlers_.on_request(id, std::move(taken));
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override
    {
        for (const exchange_id id : table_->take_all_of(peer->getID())) {
            handlers_.on_gone(id);
        }
    }

private:
    std::shared_ptr<exchange_table> table_;
    http_server::handlers handlers_;
};

} // namespace

class http_server::impl {
public:
    impl(const http_server_settings& settings, handlers h)
        : settings_(settings), handlers_(std::move(h)), table_(std::make_shared<exchange_table>()),
          endpoint_(Pistache::Address(settings.address.host, Pistache::Port(settings.address.port)))
    {
    }

    absl::Status start()
    {
        const auto options =
            http::Endpoint::options()
                .threads(settings_.threads)
                .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                .maxRequestSize(settings_.max_request_bytes)
                .maxResponseSize(settings_.max_request_bytes);
        try {
            endpoint_.init(options);
            endpoint_.setHandler(http::make_handler<exchange_handler>(table_, handlers_));
            endpoint_.serveThreaded();
            started_ = true;
        }
        catch (const std::exception& error) {
            return absl::UnavailableError("listen.http: " + std::string(error.what()));
        }
        return absl::OkStatus();
    }

    void answer(exchange_id id, const http_answer& a)
    {
        std::optional<http::ResponseWriter> writer = table_->take(id);
        if (!writer) {
            return;
        }
        for (const header& h : a.headers) {
            if (!set_by_server(h.name)) {
                writer->headers().add(std::make_shared<named_header>(h));
            }
        }
        const std::size_t size = a.body_bytes();
        try {
            writer->send(static_cast<http::Code>(a.status), size > 0 ? a.body->data() : "", size);
        }
        catch (const std::exception&) {
            // The caller has gone; its outcome stands in the account.
            return;
        }
    }

    void stop()
    {
        if (std::exchange(started_, false)) {
            endpoint_.shutdown();
        }
    }

private:
    http_server_settings settings_;
    handlers handlers_;
    std::shared_ptr<exchange_table> table_;
    http::Endpoint endpoint_;
    bool started_ = false;
};

http_server::http_server(const http_server_settings& settings, handlers h)
    : impl_(std::make_unique<impl>(settings, std::move(h)))
{
}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start()
{
    return impl_->start();
}

void http_server::answer(exchange_id exchange, const http_answer& answer)
{
    impl_->answer(exchange, answer);
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace fescuedyke
