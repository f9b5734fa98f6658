// Package standin holds small stand-ins of the platform for the demo and the tests.
package standin
