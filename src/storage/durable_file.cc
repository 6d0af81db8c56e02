#include "citronlane/storage/detail/durable_file.h"

namespace citronlane {

bool WriteDurableFile(const FileSystem& files,
                      const std::string& folder,
                      const std::string& name,
                      std::string_view content,
                      Error* error) {
  const std::string path = folder + "/" + name;
  const std::string unfinished = path + std::string(kUnfinishedSuffix);
  const auto handle = files.create_(unfinished, error);
  if (!handle) {
    return false;
  }
  const bool written =
      files.write_(*handle, content, error) && files.sync_(*handle, error);
  files.close_(*handle);
  return written && files.rename_(unfinished, path, error) &&
         files.sync_folder_(folder, error);
}

}  // namespace citronlane
