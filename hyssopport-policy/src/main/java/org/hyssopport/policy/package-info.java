/**
 * The library for operators: the configuration of teams, work classes and limits, and its
 * validation.
 *
 * <p>This module depends on no other module of hyssopport, so that a policy program needs only this
 * library.
 */
package org.hyssopport.policy;
