package org.hyssopport.engine;

import java.util.List;
import org.hyssopport.engine.platform.AttemptView;

/** Hears what workers report about attempts. */
interface WorkerObserver {

  /** Takes the attempts that a worker reports; called at least once after every take-over. */
  void onAttemptsReported(PooledWorker worker, List<AttemptView> views);

  /** Takes the news that a worker's lease was lost or given back. */
  void onLeaseLost(PooledWorker worker);
}
