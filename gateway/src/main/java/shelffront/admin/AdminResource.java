package shelffront.admin;

import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * One resource of the administration API with all below its path. Called on any of the server's
 * threads, several at a time.
 */
interface AdminResource {

  /**
   * Carries out a request.
   *
   * @throws ProblemException with the answer of a request that is rejected
   * @throws SpecException for a document that is not valid
   * @throws ConflictException for a change of another revision than the present one
   * @throws OperatorException where an outside system failed
   * @throws InterruptedException where the server ends meanwhile; nothing is answered
   */
  AdminResponse handle(AdminRequest request)
      throws ProblemException,
          SpecException,
          ConflictException,
          OperatorException,
          InterruptedException;
}
