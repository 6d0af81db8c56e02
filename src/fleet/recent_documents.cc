#include "citronlane/fleet/recent_documents.h"

#include <utility>

#include "citronlane/fleet/document_patch.h"

namespace citronlane {

RecentDocuments::RecentDocuments(size_t max_bytes) : max_bytes_(max_bytes) {}

void RecentDocuments::Add(uint64_t version, std::string_view document) {
  if (newest() == version) {
    return;
  }
  if (newest() && version < *newest()) {
    documents_.clear();
    bytes_ = 0;
  }
  updates_.clear();
  documents_[version] = document;
  bytes_ += document.size();
  while (bytes_ > max_bytes_ && documents_.size() > 1) {
    DropOldest();
  }
}

std::optional<uint64_t> RecentDocuments::newest() const {
  return documents_.empty() ? std::nullopt
                            : std::optional(documents_.rbegin()->first);
}

const RecentDocuments::Update* RecentDocuments::UpdateFrom(
    std::optional<uint64_t> held,
    Error* error) {
  if (held && documents_.count(*held) == 0) {
    held.reset();
  }
  if (const auto made = updates_.find(held); made != updates_.end()) {
    return &made->second;
  }
  const auto& [version, document] = *documents_.rbegin();
  std::string_view base;
  if (held) {
    base = documents_.at(*held);
  }
  auto data = EncodeDocument(document, base, error);
  if (!data) {
    return nullptr;
  }
  return &updates_.emplace(held, Update{version, held, std::move(*data)})
              .first->second;
}

void RecentDocuments::DropOldest() {
  bytes_ -= documents_.begin()->second.size();
  documents_.erase(documents_.begin());
}

}  // namespace citronlane
