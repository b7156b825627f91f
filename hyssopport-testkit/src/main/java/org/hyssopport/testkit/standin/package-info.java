/**
 * Stand-ins for the platform of entry instances ({@code hyssopport serve}): its log, its live list
 * and its workers.
 *
 * <p>The log and the worker each have a model, a state machine that is given the time and that
 * simulations use directly, and a server that runs the model as a process.
 */
package org.hyssopport.testkit.standin;
