package shelffront.admin;

import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * A resource of the administration API, including everything below its path. Implementations are
 * called concurrently from the server's threads.
 */
interface AdminResource {

  /**
   * Executes a request.
   *
   * @throws ProblemException if the request is rejected; holds the response
   * @throws SpecException if a document is not valid
   * @throws ConflictException if a change expects a revision that is not the current one
   * @throws OperatorException if an external system, such as the coordination store, failed
   * @throws InterruptedException if the server is shut down; the request then gets no response
   */
  AdminResponse handle(AdminRequest request)
      throws ProblemException,
          SpecException,
          ConflictException,
          OperatorException,
          InterruptedException;
}
