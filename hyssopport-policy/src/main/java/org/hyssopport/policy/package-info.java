/**
 * The operators' library: the configuration of teams, work classes and limits, and its checks.
 *
 * <p>This package depends on no other module, so that a policy program needs only this library.
 */
package org.hyssopport.policy;
