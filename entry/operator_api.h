#ifndef ENTRY_OPERATOR_API_H_
#define ENTRY_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <string>

#include "core/core.h"
#include "entry/entry_process.h"
#include "entry/inventory_editor.h"
#include "entry/retirement_proof.h"
#include "http/http.h"

namespace comfreyshift {

// The HTTP routes for operators, as docs/api.md describes them.
class OperatorApi {
 public:
  // `entry` must outlive the routes.
  // `lease` is F, the lifetime of a proof of freshness.
  OperatorApi(std::string operator_token,
              Milliseconds lease,
              EntryProcess& entry);

  // Adds the routes to `server`, which must not outlive this object.
  void AddRoutes(HttpServer& server);

 private:
  using RequestPtr = std::shared_ptr<HttpRequest>;

  // Wraps a handler that must see the present state of the store. With
  // `needs_store`, a request is refused while the store does not answer.
  HttpHandler WithCurrentState(bool needs_store, HttpHandler handler);

  void GetInventory(const RequestPtr& request);
  void PutInventory(const RequestPtr& request);
  void SetZone(const RequestPtr& request, bool open);
  void RetireClient(const RequestPtr& request);
  void RetireTarget(const RequestPtr& request);
  void GetRetirement(const RequestPtr& request);
  // Adds the summary of a finished proof to the audit trail, once.
  void RecordProof(const RetirementProof& proof);
  void GetStatus(const RequestPtr& request);
  void GetAudit(const RequestPtr& request);
  void Edit(const RequestPtr& request,
            std::string_view action,
            Inventory changed);

  std::string m_operator_token;
  Milliseconds m_lease;
  EntryProcess& m_entry;
  std::shared_ptr<InventoryEditor> m_editor;
};

}  // namespace comfreyshift

#endif  // ENTRY_OPERATOR_API_H_
