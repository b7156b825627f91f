/** Which workers a step may run on, and who asks for that when. */
package org.hyssopport.engine.advice;
