package org.hyssopport.engine;

import java.util.List;
import org.hyssopport.engine.platform.AttemptView;

/** Is notified of the attempts that workers report, and of lost leases. */
interface WorkerObserver {

  /** Handles the attempts that a worker reports; called at least once after each lease grant. */
  void onAttemptsReported(PooledWorker worker, List<AttemptView> views);

  /** Handles the loss or the release of a worker's lease. */
  void onLeaseLost(PooledWorker worker);
}
