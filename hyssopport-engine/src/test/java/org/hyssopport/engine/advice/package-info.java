/** Tests of what calls to the advice service ask about, and in which order they are made. */
package org.hyssopport.engine.advice;
