#include "cli/apply_inventory.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "http/http.h"
#include "inventory/inventory.h"

namespace comfreyshift {

int RunInventory(int argc, char** argv) {
  cxxopts::Options parser("comfreyshift inventory apply FILE");
  parser.add_options()("server", "", cxxopts::value<std::string>())(
      "token-file", "", cxxopts::value<std::string>())(
      "words", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional("words");
  const auto arguments = parser.parse(argc, argv);
  const std::string path =
      arguments["words"].as<std::vector<std::string>>().back();
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const auto inventory = ParseInventory(path, text);
  if (!inventory) {
    std::cerr << inventory.error().ToString() << '\n';
    return 2;
  }
  std::ifstream token_file(arguments["token-file"].as<std::string>());
  std::string token;
  std::getline(token_file, token);
  HttpClientOptions options;
  options.m_base_url = arguments["server"].as<std::string>();
  const auto client = HttpClient::Make(options);
  HttpCall call;
  call.m_method = "PUT";
  call.m_path = "/v1/inventory";
  call.m_headers = {{"Authorization", "Bearer " + token}};
  call.m_body = InventoryToJson(inventory.value());
  call.m_deadline = BootClock::now() + std::chrono::seconds(10);
  const auto result = client.value()->SendAndWait(call);
  if (!result) {
    std::cerr << result.error().m_detail << '\n';
    return 6;
  }
  std::cout << result.value().m_body << '\n';
  return result.value().m_status == 200 ? 0 : 1;
}

}  // namespace comfreyshift
