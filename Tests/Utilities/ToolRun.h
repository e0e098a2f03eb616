#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace teaselhold::tool {

/// A folder for the files of one test; removed at its end.
class TestFolder
{
public:
  TestFolder()
  {
    std::string path =
      std::filesystem::temp_directory_path() / "teaselhold-test-XXXXXX";
    path_ = mkdtemp(path.data());
  }
  ~TestFolder() { std::filesystem::remove_all(path_); }

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    const auto path = path_ / aName;
    std::ofstream(path) << aText;
    return path;
  }

  std::string Read(const std::string& aName) const
  {
    std::ifstream file(path_ / aName);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

  std::string Path(const std::string& aName) const { return path_ / aName; }

private:
  std::filesystem::path path_;
};

struct ToolResult
{
  int exitCode = -1;
  std::string output;
  std::string errors;
};

/// Runs a program of the build folder to its end. aArguments go through the
/// shell.
inline ToolResult
RunProgram(const std::string& aProgram, const std::string& aArguments)
{
  const TestFolder folder;
  const auto command = std::string(TEASELHOLD_BINARY_FOLDER) + "/" + aProgram +
                       " " + aArguments + " >" + folder.Path("out") + " 2>" +
                       folder.Path("err");
  const int status = std::system(command.c_str()); // NOLINT(cert-env33-c)
  return { WIFEXITED(status) ? WEXITSTATUS(status) : -1,
           folder.Read("out"),
           folder.Read("err") };
}

} // namespace teaselhold::tool
